package org.skylarkbend.publishing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;

/** Checks that all moves of a set together are feasible for its endpoints. */
final class MoveChecker {
    private static final int MAX_CONCURRENT_LOADS = 2;
    private static final double MAX_TOTAL_SHARE = 1.0;

    /** Receives the problems found in moves. */
    @FunctionalInterface
    interface ProblemReporter {
        void add(ObjectName move, String field, String message);
    }

    private final PublishedSet mSet;
    private final ProblemReporter mReporter;

    MoveChecker(PublishedSet set, ProblemReporter reporter) {
        mSet = set;
        mReporter = reporter;
    }

    /** Reports trial shares that are not positive or exceed 100 % in total for a pool. */
    void checkShares() {
        Map<ObjectName, Double> shareByPool = new HashMap<>();
        for (TrafficMove move : mSet.moves().values()) {
            if (move.trialShare() <= 0) {
                mReporter.add(move.name(), "trial_share", "the share of a trial must be above 0");
            }
            poolOf(move)
                    .filter(pool -> addShare(shareByPool, pool, move) > MAX_TOTAL_SHARE)
                    .ifPresent(pool -> reportShareTotal(move, pool, shareByPool.get(pool)));
        }
    }

    /** Reports moves that form a cycle of versions within a pool. */
    void checkCycles() {
        for (TrafficMove move : mSet.moves().values()) {
            poolOf(move)
                    .filter(pool -> isReachable(pool, move.toVersion(), move.fromVersion()))
                    .ifPresent(pool -> reportCycle(move, pool));
        }
    }

    /**
     * Reports new moves whose deadline is shorter than the time to load their weights.
     *
     * <p>The estimate is a lower bound: it assumes two concurrent loads and counts nothing but
     * loading. Moves that the current set already contains were checked when they were published.
     */
    void checkDeadlines(SetContext context) {
        List<TrafficMove> byDeadline =
                mSet.moves().values().stream()
                        .filter(move -> !move.equals(context.current().moves().get(move.name())))
                        .sorted(Comparator.comparingLong(TrafficMove::completeByEpochMilliseconds))
                        .toList();
        long totalLoadMilliseconds = 0;
        for (TrafficMove move : byDeadline) {
            long endpoints = endpointsToLoad(move);
            long loadMilliseconds = loadMillisecondsOf(move);
            totalLoadMilliseconds += endpoints * loadMilliseconds;
            long neededMilliseconds =
                    Math.max(
                            ceilDivByConcurrentLoads(endpoints) * loadMilliseconds,
                            ceilDivByConcurrentLoads(totalLoadMilliseconds));
            checkDeadline(move, neededMilliseconds, context.nowEpochMilliseconds());
        }
    }

    private void checkDeadline(
            TrafficMove move, long neededMilliseconds, long nowEpochMilliseconds) {
        long leftMilliseconds = move.completeByEpochMilliseconds() - nowEpochMilliseconds;
        if (leftMilliseconds < neededMilliseconds) {
            String message =
                    "cannot be met: loading takes at least "
                            + neededMilliseconds
                            + " ms with two concurrent loads, and "
                            + Math.max(0, leftMilliseconds)
                            + " ms are left";
            mReporter.add(move.name(), "complete_by", message);
        }
    }

    private long endpointsToLoad(TrafficMove move) {
        Optional<ObjectName> pool = poolOf(move);
        return mSet.endpoints().values().stream()
                .filter(endpoint -> pool.isPresent() && endpoint.pool().equals(pool.get()))
                .filter(endpoint -> !endpoint.version().equals(move.toVersion()))
                .count();
    }

    private long loadMillisecondsOf(TrafficMove move) {
        EndpointVersion version = mSet.versions().get(move.toVersion());
        return version == null ? 0 : version.loadMilliseconds();
    }

    private boolean isReachable(ObjectName pool, ObjectName start, ObjectName target) {
        Set<ObjectName> reached = new HashSet<>(Set.of(start));
        boolean changed = true;
        while (changed) {
            changed = false;
            for (TrafficMove move : mSet.moves().values()) {
                boolean inPool = poolOf(move).filter(pool::equals).isPresent();
                if (inPool && reached.contains(move.fromVersion())) {
                    changed |= reached.add(move.toVersion());
                }
            }
        }
        return reached.contains(target);
    }

    private Optional<ObjectName> poolOf(TrafficMove move) {
        return Optional.ofNullable(mSet.routes().get(move.route())).map(Route::pool);
    }

    private void reportShareTotal(TrafficMove move, ObjectName pool, double share) {
        String percent = Math.round(share * 100) + " %";
        String message = "the trials on the pool \"" + pool + "\" add up to " + percent;
        mReporter.add(move.name(), "trial_share", message);
    }

    private void reportCycle(TrafficMove move, ObjectName pool) {
        String message =
                "the moves on the pool \""
                        + pool
                        + "\" lead from \""
                        + move.fromVersion()
                        + "\" back to itself";
        mReporter.add(move.name(), "to", message);
    }

    private static double addShare(
            Map<ObjectName, Double> shareByPool, ObjectName pool, TrafficMove move) {
        return shareByPool.merge(pool, move.trialShare(), Double::sum);
    }

    private static long ceilDivByConcurrentLoads(long value) {
        return (value + MAX_CONCURRENT_LOADS - 1) / MAX_CONCURRENT_LOADS;
    }
}
