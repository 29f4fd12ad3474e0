package org.skylarkbend.moves.rollout;

import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The rollout of a new version of a service.
 *
 * @param service the service
 * @param version the version that is brought in
 * @param orderedEpochMilliseconds the time at which the leader accepted the order
 * @param durationMilliseconds the time from the order by which the rollout has to be completed
 * @param phase the current phase
 * @param changedEpochMilliseconds the time of the last change of phase
 * @param retiredVersions the versions that get no calls even if no other endpoint is left
 * @param reason the reason of a rollback; empty otherwise
 */
public record Rollout(
        String service,
        String version,
        long orderedEpochMilliseconds,
        long durationMilliseconds,
        RolloutPhase phase,
        long changedEpochMilliseconds,
        SortedSet<String> retiredVersions,
        String reason) {
    /** Copies the set. */
    public Rollout {
        retiredVersions =
                java.util.Collections.unmodifiableSortedSet(new TreeSet<>(retiredVersions));
    }

    /** Returns a rollout that was just ordered. */
    static Rollout ordered(RolloutMessage.Ordered order, long nowEpochMilliseconds) {
        return new Rollout(
                order.service(),
                order.version(),
                nowEpochMilliseconds,
                order.durationMilliseconds(),
                RolloutPhase.TRIAL,
                nowEpochMilliseconds,
                new TreeSet<>(),
                "");
    }

    /** Returns this rollout in another phase. */
    Rollout advanced(RolloutMessage.Advanced advance, long nowEpochMilliseconds) {
        return new Rollout(
                service,
                version,
                orderedEpochMilliseconds,
                durationMilliseconds,
                advance.phase(),
                nowEpochMilliseconds,
                new TreeSet<>(advance.retiredVersions()),
                advance.reason());
    }
}
