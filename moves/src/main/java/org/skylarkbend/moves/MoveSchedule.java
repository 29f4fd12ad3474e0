package org.skylarkbend.moves;

import java.util.List;

/** Schedules a move backwards from the time by which it must be complete. */
final class MoveSchedule {
    /**
     * Maximum number of concurrent weight loads over all moves; the weight store slows down beyond
     * it.
     */
    static final int MAX_CONCURRENT_LOADS = 2;

    /** Share of the traffic that stays with the old version during monitoring, for comparison. */
    static final double BASELINE_SHARE = 0.05;

    /** Number of requests of the new version required at each share. */
    static final long REQUESTS_PER_STEP = 50;

    /** Number of requests of the new version scheduled for the proof. */
    private static final long TRIAL_REQUESTS = 250;

    /** Minimum time at each share. */
    private static final long MIN_STEP_MILLISECONDS = 2_000;

    /** Time reserved in addition to the scaled time of the loads and steps. */
    private static final long SLACK_MILLISECONDS = 30_000;

    /** Factor by which the time of the loads and steps is scaled. */
    private static final int SLACK_FACTOR = 2;

    /** Minimum share assumed when the time of the trial is estimated. */
    private static final double MIN_SHARE = 0.001;

    /** Shares that follow the trial share. */
    private static final List<Double> LARGER_SHARES = List.of(0.25, 0.5, 1 - BASELINE_SHARE);

    private MoveSchedule() {}

    /** Returns the time at which the move has to begin, given the traffic observed so far. */
    static long beginAtEpochMilliseconds(MoveProgress progress, long nowEpochMilliseconds) {
        long endpoints = progress.plan().endpoints().size();
        long rounds = (endpoints + MAX_CONCURRENT_LOADS - 1) / MAX_CONCURRENT_LOADS;
        long loadMilliseconds = rounds * progress.plan().loadMilliseconds();
        long neededMilliseconds =
                loadMilliseconds + allStepsMilliseconds(progress, nowEpochMilliseconds);
        return progress.plan().move().completeByEpochMilliseconds()
                - SLACK_FACTOR * neededMilliseconds
                - SLACK_MILLISECONDS;
    }

    /** Returns the initial share of the new version. */
    static double trialShare(MoveProgress progress) {
        return Math.min(progress.plan().move().trialShare(), 1 - BASELINE_SHARE);
    }

    /** Returns the share that follows the given one. */
    static double nextShare(double share) {
        return LARGER_SHARES.stream()
                .filter(larger -> larger > share)
                .findFirst()
                .orElse(1 - BASELINE_SHARE);
    }

    /**
     * Returns whether the new version has had the required requests and time at the current share.
     */
    static boolean isStepComplete(MoveProgress progress, long nowEpochMilliseconds) {
        return progress.evaluation().stepRequests() >= REQUESTS_PER_STEP
                && nowEpochMilliseconds - progress.stepSinceEpochMilliseconds()
                        >= MIN_STEP_MILLISECONDS;
    }

    /**
     * Returns the time required by the trial and the larger shares at the traffic observed while
     * the move was waiting.
     */
    private static long allStepsMilliseconds(MoveProgress progress, long nowEpochMilliseconds) {
        long waitedMilliseconds =
                Math.max(1, nowEpochMilliseconds - progress.phaseSinceEpochMilliseconds());
        double requestsPerMillisecond = (double) progress.observedRequests() / waitedMilliseconds;
        double share = Math.max(trialShare(progress), MIN_SHARE);
        long milliseconds = stepMilliseconds(TRIAL_REQUESTS, requestsPerMillisecond * share);
        for (double larger : LARGER_SHARES) {
            double perMillisecond = requestsPerMillisecond * Math.max(share, larger);
            milliseconds += stepMilliseconds(REQUESTS_PER_STEP, perMillisecond);
        }
        return milliseconds;
    }

    private static long stepMilliseconds(long requests, double newRequestsPerMillisecond) {
        if (newRequestsPerMillisecond <= 0) {
            return MIN_STEP_MILLISECONDS;
        }
        return MIN_STEP_MILLISECONDS + (long) (requests / newRequestsPerMillisecond);
    }
}
