package org.skylarkbend.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.quarantine.Suspect.Wait;

/** The crashes that quarantines in force explain. */
final class Explanations {
    private final Set<PartCombination> mInForce;
    private final Map<String, Set<PartCombination>> mByIncarnation = new HashMap<>();

    Explanations(Set<PartCombination> inForce) {
        mInForce = inForce;
    }

    /** Adds a crash with the parts of each call that waited there. */
    void add(String incarnation, List<List<PromptPart>> calls) {
        Set<PartCombination> explaining =
                mInForce.stream()
                        .filter(combination -> calls.stream().anyMatch(combination::isIn))
                        .collect(Collectors.toSet());
        mByIncarnation.put(incarnation, explaining);
    }

    /** Returns those waits of calls with a part that count against the part. */
    Set<Wait> unexplained(PromptPart part, Set<Wait> waits) {
        return waits.stream()
                .filter(
                        wait ->
                                mByIncarnation.get(wait.incarnation()).isEmpty()
                                        || isPartOfSimplest(part, wait))
                .collect(Collectors.toSet());
    }

    private boolean isPartOfSimplest(PromptPart part, Wait wait) {
        Set<PartCombination> explaining = mByIncarnation.get(wait.incarnation());
        return explaining.stream()
                .filter(one -> one.parts().contains(part))
                .anyMatch(one -> explaining.stream().noneMatch(one::isNarrowerThan));
    }
}
