package org.skylarkbend.moves;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;

/**
 * Progress of one move.
 *
 * @param plan the published plan
 * @param phase the current phase
 * @param reason the reason for the rollback, or empty
 * @param share the share of the traffic that the new version receives
 * @param loaded the endpoints that have loaded the new version
 * @param failedLoads the endpoints whose last load failed; they are retried after the others
 * @param evaluation the evidence about the new version
 * @param phaseSinceEpochMilliseconds the start time of the phase
 * @param stepSinceEpochMilliseconds the time of the last change of the share
 * @param observedRequests the number of requests of the route reported since the move was published
 */
public record MoveProgress(
        MovePlan plan,
        MovePhase phase,
        String reason,
        double share,
        SortedSet<ObjectName> loaded,
        SortedSet<ObjectName> failedLoads,
        VersionEvaluation evaluation,
        long phaseSinceEpochMilliseconds,
        long stepSinceEpochMilliseconds,
        long observedRequests) {
    /** Copies the endpoints. */
    public MoveProgress {
        loaded = Collections.unmodifiableSortedSet(new TreeSet<>(loaded));
        failedLoads = Collections.unmodifiableSortedSet(new TreeSet<>(failedLoads));
    }

    /** Returns the progress of a newly published move. */
    public static MoveProgress published(MovePlan plan, long nowEpochMilliseconds) {
        return new MoveProgress(
                plan,
                MovePhase.WAITING,
                "",
                0,
                new TreeSet<>(),
                new TreeSet<>(),
                VersionEvaluation.empty(),
                nowEpochMilliseconds,
                nowEpochMilliseconds,
                0);
    }

    /** Returns whether every endpoint of the pool has loaded the new version. */
    public boolean isLoadedEverywhere() {
        return !plan.endpoints().isEmpty() && loaded.containsAll(plan.endpoints());
    }

    MoveProgress inPhase(
            MovePhase next, String nextReason, double nextShare, long nowEpochMilliseconds) {
        return new MoveProgress(
                plan,
                next,
                nextReason,
                nextShare,
                loaded,
                failedLoads,
                evaluation,
                nowEpochMilliseconds,
                nowEpochMilliseconds,
                observedRequests);
    }

    MoveProgress withShare(double nextShare, long nowEpochMilliseconds) {
        return new MoveProgress(
                plan,
                phase,
                reason,
                nextShare,
                loaded,
                failedLoads,
                evaluation.withNewStep(),
                phaseSinceEpochMilliseconds,
                nowEpochMilliseconds,
                observedRequests);
    }

    MoveProgress withEvidence(VersionEvaluation nextEvaluation, long nextObservedRequests) {
        return new MoveProgress(
                plan,
                phase,
                reason,
                share,
                loaded,
                failedLoads,
                nextEvaluation,
                phaseSinceEpochMilliseconds,
                stepSinceEpochMilliseconds,
                nextObservedRequests);
    }

    MoveProgress withEndpoints(MovePlan nextPlan, SortedSet<ObjectName> nextLoaded) {
        return new MoveProgress(
                nextPlan,
                phase,
                reason,
                share,
                nextLoaded,
                failedLoads,
                evaluation,
                phaseSinceEpochMilliseconds,
                stepSinceEpochMilliseconds,
                observedRequests);
    }

    /**
     * Returns the progress after a failed load on an endpoint. Once all remaining endpoints have
     * failed, all of them are retried.
     */
    MoveProgress withFailedLoad(ObjectName endpoint) {
        SortedSet<ObjectName> failed = new TreeSet<>(failedLoads);
        failed.add(endpoint);
        SortedSet<ObjectName> untried = new TreeSet<>(plan.endpoints());
        untried.removeAll(loaded);
        untried.removeAll(failed);
        return new MoveProgress(
                plan,
                phase,
                reason,
                share,
                loaded,
                untried.isEmpty() ? new TreeSet<>() : failed,
                evaluation,
                phaseSinceEpochMilliseconds,
                stepSinceEpochMilliseconds,
                observedRequests);
    }
}
