package org.skylarkbend.quarantine;

import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The quarantined combinations of combinations. This is a value: the same messages result in the
 * same state on every control VM.
 */
public record QuarantineState(SortedMap<PartCombination, Quarantine> combinations) {
    /** Maximum number of combinations, with those whose quarantine was lifted. */
    static final int MAX_COMBINATIONS = 1_024;

    /**
     * Combinations whose quarantine was lifted are dropped first, the longest unchanged at first.
     */
    private static final Comparator<Map.Entry<PartCombination, Quarantine>> DROP_ORDER =
            Comparator.comparing((Map.Entry<PartCombination, Quarantine> entry) -> inForce(entry))
                    .thenComparing(entry -> entry.getValue().changedEpochMilliseconds())
                    .thenComparing(Map.Entry::getKey);

    /** Creates the state with a copy of the map. */
    public QuarantineState {
        combinations = Collections.unmodifiableSortedMap(new TreeMap<>(combinations));
    }

    /** Returns a state without quarantines. */
    public static QuarantineState empty() {
        return new QuarantineState(new TreeMap<>());
    }

    /** Returns the combinations whose quarantine is in force. */
    public Set<PartCombination> inForce() {
        return combinations.entrySet().stream()
                .filter(QuarantineState::inForce)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the quarantine of a combination, in force or lifted. */
    public Optional<Quarantine> of(PartCombination combination) {
        return Optional.ofNullable(combinations.get(combination));
    }

    /** Returns the state after a message. A change that already holds has no effect. */
    public QuarantineState after(QuarantineMessage message, long nowEpochMilliseconds) {
        Quarantine known = combinations.get(message.combination());
        boolean isInForce = known != null && known.inForce();
        boolean isImposed = message instanceof QuarantineMessage.Imposed;
        if (isInForce == isImposed) {
            return this;
        }
        int times = (known == null ? 0 : known.timesImposed()) + (isImposed ? 1 : 0);
        SortedMap<PartCombination, Quarantine> changed = new TreeMap<>(combinations);
        changed.put(message.combination(), new Quarantine(isImposed, times, nowEpochMilliseconds));
        if (changed.size() > MAX_COMBINATIONS) {
            changed.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(message.combination()))
                    .min(DROP_ORDER)
                    .map(Map.Entry::getKey)
                    .ifPresent(changed::remove);
        }
        return new QuarantineState(changed);
    }

    private static boolean inForce(Map.Entry<PartCombination, Quarantine> entry) {
        return entry.getValue().inForce();
    }
}
