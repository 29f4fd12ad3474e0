package org.skylarkbend.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.quarantine.Suspect.Wait;

/**
 * The crashes that quarantines in force explain. A quarantine may be wrong: of a sound call that
 * waited at the same crashes as the cause. So what waited at all of its crashes and at another one
 * that no quarantine explains is the better explanation of them all. All crashes also count against
 * a single call that waited at many, one of them unexplained: to refuse it costs no other call.
 */
final class Explanations {
    private final Set<PartCombination> mInForce;
    private final Map<String, Set<PartCombination>> mByIncarnation = new HashMap<>();
    private final Map<PartCombination, Set<String>> mIncarnations = new HashMap<>();

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
        explaining.forEach(
                combination ->
                        mIncarnations
                                .computeIfAbsent(combination, key -> new HashSet<>())
                                .add(incarnation));
    }

    /** Returns those waits of calls with a part that count against the part. */
    Set<Wait> unexplained(PromptPart part, Set<Wait> waits) {
        Set<String> incarnations =
                waits.stream().map(Wait::incarnation).collect(Collectors.toSet());
        boolean explainsAnother =
                incarnations.stream().anyMatch(one -> mByIncarnation.get(one).isEmpty());
        if (explainsAnother
                && part.isOfOneCall()
                && Suspect.separateCrashes(waits) >= CrashAnalysis.CRASHES_IF_DOUBTFUL) {
            return waits;
        }
        return waits.stream()
                .filter(
                        wait ->
                                mByIncarnation.get(wait.incarnation()).isEmpty()
                                        || isPartOfSimplest(part, wait)
                                        || explainsAnother && explainsMore(incarnations, wait))
                .collect(Collectors.toSet());
    }

    private boolean explainsMore(Set<String> incarnations, Wait wait) {
        return mByIncarnation.get(wait.incarnation()).stream()
                .map(mIncarnations::get)
                .allMatch(incarnations::containsAll);
    }

    private boolean isPartOfSimplest(PromptPart part, Wait wait) {
        Set<PartCombination> explaining = mByIncarnation.get(wait.incarnation());
        return explaining.stream()
                .filter(one -> one.parts().contains(part))
                .anyMatch(one -> explaining.stream().noneMatch(one::isNarrowerThan));
    }
}
