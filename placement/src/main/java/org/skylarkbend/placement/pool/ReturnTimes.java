package org.skylarkbend.placement.pool;

import java.util.function.DoubleSupplier;

/**
 * Decides after how long refused callers may return.
 *
 * <p>Callers that are refused together and told the same time come back together and meet the same
 * shortage, so their returns are spread. Those who can still be served within their target return
 * first, in a part of what is left of it; the others begin when these have returned.
 */
public final class ReturnTimes {
    /**
     * Longest time over which callers are spread. Sums of the work of all gateways arrive within
     * it, so that those who return early are known when the next ones are placed.
     */
    private static final long SPREAD_MILLISECONDS = 300;

    /** Part of what is left of a target that callers wait at most. */
    private static final long TARGET_DIVISOR = 2;

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
     * @param shortestMilliseconds time after which it may return at the earliest
     * @param targetMilliseconds time that is left of its target; not positive if it has passed
     * @param remainingMilliseconds time until the caller gives up, of which it waits a third at
     *     most
     */
    public long afterMilliseconds(
            long shortestMilliseconds, long targetMilliseconds, long remainingMilliseconds) {
        long inTimeMilliseconds = targetMilliseconds / TARGET_DIVISOR - shortestMilliseconds;
        boolean isInTime = inTimeMilliseconds > 0;
        long spreadMilliseconds =
                isInTime ? Math.min(SPREAD_MILLISECONDS, inTimeMilliseconds) : SPREAD_MILLISECONDS;
        long afterMilliseconds =
                shortestMilliseconds
                        + (isInTime ? 0 : SPREAD_MILLISECONDS)
                        + Math.round(spreadMilliseconds * mRandom.getAsDouble());
        return Math.min(
                Math.max(shortestMilliseconds, remainingMilliseconds / 3), afterMilliseconds);
    }
}
