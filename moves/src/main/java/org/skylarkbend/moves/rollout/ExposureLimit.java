package org.skylarkbend.moves.rollout;

/**
 * The calls that a version may get before it is known to be good: at most a share of all calls of
 * its service since the order, plus a fixed number.
 *
 * @param share the share of the calls, from 0 to 1
 * @param calls the fixed number of calls
 */
public record ExposureLimit(double share, long calls) {
    /** The parts of the limit that are used. The rest covers calls that are not reported yet. */
    private static final double USED_SHARE_RATIO = 0.7;

    private static final double USED_CALLS_RATIO = 0.5;

    /** The part of the fixed number that is left to a leader who does not know the calls so far. */
    private static final double LATER_CALLS_RATIO = 0.3;

    /**
     * Returns how many more calls the version may get.
     *
     * @param sent the number of all calls since the order
     * @param sentToVersion the number of those that the version got
     * @param knowsAllCalls false if an earlier leader may have used its part of the fixed number
     */
    double remaining(long sent, long sentToVersion, boolean knowsAllCalls) {
        double fixedCalls = (knowsAllCalls ? USED_CALLS_RATIO : LATER_CALLS_RATIO) * calls;
        return USED_SHARE_RATIO * share * sent + fixedCalls - sentToVersion;
    }
}
