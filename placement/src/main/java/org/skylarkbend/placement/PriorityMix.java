package org.skylarkbend.placement;

/**
 * Tracks the share of the recent work that belongs to each priority, as moving averages.
 *
 * <p>Engines report one queue length for all priorities. A request waits only for the part of the
 * queue with the same or a higher priority.
 */
final class PriorityMix {
    /** Weight of a new sample in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.02;

    private final double[] mShares = new double[PlacementRequest.PRIORITIES];

    /** Adds a request that has been sent. */
    void sent(int priority, double uncachedTokens) {
        for (int i = 0; i < mShares.length; i++) {
            mShares[i] *= 1 - SMOOTHING_FACTOR;
        }
        mShares[priority] += SMOOTHING_FACTOR * uncachedTokens;
    }

    /** Returns the share of the work that is served before a request of this priority. */
    double shareAhead(int priority) {
        double ahead = 0;
        double total = 0;
        for (int i = 0; i < mShares.length; i++) {
            ahead += i <= priority ? mShares[i] : 0;
            total += mShares[i];
        }
        return total == 0 ? 1 : ahead / total;
    }
}
