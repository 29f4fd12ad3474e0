package org.skylarkbend.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the suspects of which the first is to be judged. Single calls go before the parts that
 * they share with others, since their quarantine refuses no sound call; if the parts are the cause,
 * other calls with them will show it.
 */
final class Candidates {
    /**
     * Calls that are rather the causes themselves than that a part they share is. Three are no
     * coincidence.
     */
    private static final int MAX_SEPARATE_CALLS = 2;

    private final Set<PartCombination> mInForce;
    private final Predicate<PromptPart> mWasServedBefore;

    private Candidates(Set<PartCombination> inForce, Predicate<PromptPart> wasServedBefore) {
        mInForce = inForce;
        mWasServedBefore = wasServedBefore;
    }

    /**
     * Returns the candidates, the most suspicious first.
     *
     * @param suspects all suspects, the most suspicious first
     * @param inForce the quarantines in force, which are not candidates again
     * @param wasServedBefore tells whether a part was served before the crashes
     */
    static List<Suspect> of(
            List<Suspect> suspects,
            Set<PartCombination> inForce,
            Predicate<PromptPart> wasServedBefore) {
        return suspects.isEmpty()
                ? suspects
                : new Candidates(inForce, wasServedBefore).candidates(suspects);
    }

    private List<Suspect> candidates(List<Suspect> suspects) {
        List<Suspect> open = notInForce(suspects);
        if (open.isEmpty()) {
            return open;
        }
        Suspect top = open.get(0);
        if (top.isOneCall()) {
            return combined(narrowed(open).stream().filter(Suspect::isOneCall).toList(), suspects);
        }
        List<Suspect> calls = separateCalls(top, suspects);
        if (!calls.isEmpty()) {
            return judgedFirst(calls, top, suspects);
        }
        List<Suspect> narrowed =
                notInForce(narrowed(open)).stream().map(this::withoutPartsServedBefore).toList();
        return narrowed.isEmpty() ? narrowed : unservedWithin(narrowed);
    }

    /** Returns the few calls that account for all crashes of a suspect, or none if more do. */
    private static List<Suspect> separateCalls(Suspect top, List<Suspect> suspects) {
        List<Suspect> calls =
                suspects.stream()
                        .filter(Suspect::isOneCall)
                        .filter(call -> isSeen(call) || top.contains(call))
                        .toList();
        Set<String> unexplained = new HashSet<>(top.incarnations());
        List<Suspect> chosen = new ArrayList<>();
        while (!unexplained.isEmpty()) {
            Optional<Suspect> best =
                    calls.stream()
                            .max(Comparator.comparingLong(call -> common(call, unexplained)))
                            .filter(call -> common(call, unexplained) > 0);
            if (best.isEmpty() || chosen.size() == MAX_SEPARATE_CALLS) {
                return List.of();
            }
            chosen.add(best.get());
            unexplained.removeAll(best.get().incarnations());
        }
        return chosen;
    }

    /**
     * Returns, of separate calls, those that crashes speak against by themselves, before the other
     * calls. If these are in quarantine, and one more call crashed an endpoint, that call is
     * suspected for what it shares with them.
     */
    private List<Suspect> judgedFirst(List<Suspect> calls, Suspect top, List<Suspect> suspects) {
        List<Suspect> seen = calls.stream().filter(Candidates::isSeen).toList();
        List<Suspect> first = new ArrayList<>(combined(seen, suspects));
        if (first.isEmpty() && !seen.isEmpty()) {
            List<Suspect> others =
                    suspects.stream()
                            .filter(Suspect::isOneCall)
                            .filter(call -> !isSeen(call) && top.contains(call))
                            .filter(call -> seen.stream().noneMatch(call::sharesCrashWith))
                            .toList();
            if (others.size() == 1) {
                Suspect call = withGeneralParts(others.get(0), suspects);
                first.addAll(notInForce(List.of(top.with(call.parts()))));
            }
        }
        if (!first.isEmpty()) {
            combined(suspects.stream().filter(Suspect::isOneCall).toList(), suspects).stream()
                    .filter(call -> !first.contains(call))
                    .forEach(first::add);
        }
        return first;
    }

    private List<Suspect> combined(List<Suspect> calls, List<Suspect> suspects) {
        return notInForce(
                calls.stream()
                        .map(call -> withGeneralParts(call, suspects))
                        .map(this::withoutPartsServedBefore)
                        .sorted(Suspect.MOST_SUSPICIOUS_FIRST)
                        .toList());
    }

    /** Returns whether as many endpoints crashed under a call as a verdict needs. */
    private static boolean isSeen(Suspect call) {
        return call.crashes() >= CrashAnalysis.CRASHES;
    }

    private static long common(Suspect call, Set<String> incarnations) {
        return call.incarnations().stream().filter(incarnations::contains).count();
    }

    private static Suspect withGeneralParts(Suspect call, List<Suspect> suspects) {
        List<PromptPart> parts = new ArrayList<>(call.parts().parts());
        suspects.stream()
                .filter(suspect -> suspect.contains(call))
                .forEach(suspect -> parts.addAll(suspect.parts().parts()));
        return call.with(PartCombination.of(parts));
    }

    /**
     * Returns the suspects with the most suspicious one narrowed to a single call, if one call
     * waited at as many crashes as all calls with the suspected parts. The crashes then do not tell
     * whether the parts or that call are the cause, and other calls with the parts will.
     */
    private static List<Suspect> narrowed(List<Suspect> suspects) {
        Suspect top = suspects.get(0);
        List<Suspect> within = suspects.stream().filter(top::isMoreGeneralThan).toList();
        List<Suspect> narrowest =
                within.stream()
                        .filter(one -> within.stream().noneMatch(one::isMoreGeneralThan))
                        .toList();
        if (narrowest.size() != 1) {
            return suspects;
        }
        Suspect call = narrowest.get(0);
        List<PromptPart> parts = new ArrayList<>(call.parts().parts());
        suspects.stream()
                .filter(suspect -> suspect.isMoreGeneralThan(call))
                .forEach(suspect -> parts.addAll(suspect.parts().parts()));
        List<Suspect> narrowed = new ArrayList<>();
        narrowed.add(call.with(PartCombination.of(parts)));
        suspects.stream()
                .filter(other -> !other.equals(call) && !other.isMoreGeneralThan(call))
                .forEach(narrowed::add);
        return narrowed;
    }

    /**
     * Returns the suspects, or if the first was answered before the crashes, the calls that account
     * for some of them, as long as there are any.
     */
    private List<Suspect> unservedWithin(List<Suspect> suspects) {
        Suspect top = suspects.get(0);
        if (!top.hasPart(mWasServedBefore)) {
            return suspects;
        }
        List<Suspect> within =
                suspects.stream()
                        .filter(one -> one.crashes() >= CrashAnalysis.CRASHES)
                        .filter(one -> !one.hasPart(mWasServedBefore))
                        .filter(one -> top.waits().containsAll(one.waits()))
                        .toList();
        return within.isEmpty() ? suspects : within;
    }

    /**
     * Leaves out the parts that were served before the crashes, if there are others: those are more
     * likely to be the cause.
     */
    private Suspect withoutPartsServedBefore(Suspect suspect) {
        List<PromptPart> neverServed =
                suspect.parts().parts().stream().filter(mWasServedBefore.negate()).toList();
        return neverServed.isEmpty() ? suspect : suspect.with(PartCombination.of(neverServed));
    }

    private List<Suspect> notInForce(List<Suspect> suspects) {
        return suspects.stream().filter(suspect -> !suspect.isIn(mInForce)).toList();
    }
}
