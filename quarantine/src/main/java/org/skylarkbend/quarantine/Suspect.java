package org.skylarkbend.quarantine;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Parts that waited at the same crashes in the same calls, and may be the cause of them.
 *
 * @param parts the parts
 * @param waits the calls with these parts that waited at crashed endpoints
 * @param crashes number of crashes, of which those at nearly the same time count as one
 */
record Suspect(PartCombination parts, Set<Wait> waits, int crashes) {
    static final Comparator<Suspect> MOST_SUSPICIOUS_FIRST =
            Comparator.comparingInt(Suspect::crashes)
                    .thenComparingInt(suspect -> suspect.waits().size())
                    .reversed()
                    .thenComparing(suspect -> !suspect.isOneCall())
                    .thenComparing(Suspect::parts);

    /** Crashes that are at most this far apart count as one. */
    private static final long SAME_TIME_MILLISECONDS = 50;

    /** A call that waited at an endpoint when it crashed. */
    record Wait(String incarnation, String callId, long atMilliseconds) {}

    Suspect(PartCombination parts, Set<Wait> waits) {
        this(parts, Set.copyOf(waits), separateCrashes(waits));
    }

    boolean isAsSuspiciousAs(Suspect other) {
        return crashes == other.crashes && waits.size() == other.waits.size();
    }

    /** Returns whether both are as suspicious, and because of some of the same crashes. */
    boolean competesWith(Suspect other) {
        return !equals(other) && isAsSuspiciousAs(other) && sharesCrashWith(other);
    }

    boolean sharesCrashWith(Suspect other) {
        return incarnations().stream().anyMatch(other.incarnations()::contains);
    }

    /** Returns whether the other one waited at as many crashes, but in fewer calls. */
    boolean isMoreGeneralThan(Suspect other) {
        return crashes == other.crashes && contains(other);
    }

    /** Returns whether the other one waited in some of the same calls only. */
    boolean contains(Suspect other) {
        return waits.size() > other.waits.size() && waits.containsAll(other.waits);
    }

    /** Returns whether only the repetitions of one call have all these parts. */
    boolean isOneCall() {
        return hasPart(PromptPart::isOfOneCall);
    }

    /** Returns whether one of these quarantines holds for all calls with the parts. */
    boolean isIn(Set<PartCombination> inForce) {
        return inForce.stream().anyMatch(combination -> combination.isIn(parts.parts()));
    }

    boolean hasPart(Predicate<PromptPart> condition) {
        return parts.parts().stream().anyMatch(condition);
    }

    /** Returns the same suspect with other parts. */
    Suspect with(PartCombination changed) {
        return new Suspect(changed, waits, crashes);
    }

    Set<String> incarnations() {
        return waits.stream().map(Wait::incarnation).collect(Collectors.toSet());
    }

    long firstMilliseconds() {
        return waits.stream().mapToLong(Wait::atMilliseconds).min().orElse(0);
    }

    long lastMilliseconds() {
        return waits.stream().mapToLong(Wait::atMilliseconds).max().orElse(0);
    }

    static int separateCrashes(Set<Wait> waits) {
        List<Long> times =
                waits.stream().map(Wait::atMilliseconds).sorted(Comparator.naturalOrder()).toList();
        int separate = 0;
        long lastMilliseconds = Long.MIN_VALUE / 2;
        for (long atMilliseconds : times) {
            separate += atMilliseconds - lastMilliseconds > SAME_TIME_MILLISECONDS ? 1 : 0;
            lastMilliseconds = atMilliseconds;
        }
        return separate;
    }
}
