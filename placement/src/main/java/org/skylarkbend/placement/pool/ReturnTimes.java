package org.skylarkbend.placement.pool;

import java.util.function.DoubleSupplier;

/**
 * Decides after how long refused callers may return.
 *
 * <p>Callers that are refused together and told the same time come back together and meet the same
 * shortage. So their returns are spread over a time, in the order of their urgency: the least
 * urgent ones begin to return when the most urgent ones have all returned.
 */
public final class ReturnTimes {
    /**
     * Time over which callers of one priority are spread. Several gateways' sums of work arrive in
     * it, so that those who return early are known when the next ones are placed.
     */
    private static final double SPREAD_MILLISECONDS = 300;

    /** Priorities beyond this one wait no longer. */
    private static final int MAX_PRIORITY = 3;

    private final DoubleSupplier mRandom;

    /**
     * Creates the times.
     *
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public ReturnTimes(DoubleSupplier random) {
        mRandom = random;
    }

    /**
     * Returns the time after which a caller may return.
     *
     * @param shortestMilliseconds time for the most urgent callers at least
     * @param priority rank of the caller; 0 is the most urgent
     * @param remainingMilliseconds time until the caller gives up, of which it uses a third at most
     */
    public long afterMilliseconds(
            long shortestMilliseconds, int priority, long remainingMilliseconds) {
        int rank = Math.max(0, Math.min(MAX_PRIORITY, priority));
        double spread = (rank + mRandom.getAsDouble()) * SPREAD_MILLISECONDS;
        long longestMilliseconds = Math.max(shortestMilliseconds, remainingMilliseconds / 3);
        return Math.min(longestMilliseconds, shortestMilliseconds + Math.round(spread));
    }
}
