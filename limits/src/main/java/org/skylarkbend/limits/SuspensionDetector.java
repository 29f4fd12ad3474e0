package org.skylarkbend.limits;

import org.skylarkbend.base.MillisecondClock;

/**
 * Detects suspensions of the VM, which a steady clock does not count, by the time of day.
 *
 * <p>A step of the time of day to the future counts as a suspension, too. A step to the past during
 * a suspension hides as much of it.
 */
public final class SuspensionDetector {
    /** Differences below this are put down to the adjustment and the resolution of the clocks. */
    static final long MIN_SUSPENSION_MILLISECONDS = 500;

    private final MillisecondClock mWall;
    private long mOffsetMilliseconds;

    /**
     * Creates a detector of suspensions from now on.
     *
     * @param wall the time of day
     * @param nowMilliseconds the time of the steady clock
     */
    public SuspensionDetector(MillisecondClock wall, long nowMilliseconds) {
        mWall = wall;
        mOffsetMilliseconds = wall.nowMilliseconds() - nowMilliseconds;
    }

    /**
     * Returns for how long the VM was suspended since the last call; 0 if it was not.
     *
     * @param nowMilliseconds the time of the steady clock
     */
    public long suspendedMilliseconds(long nowMilliseconds) {
        long offsetMilliseconds = mWall.nowMilliseconds() - nowMilliseconds;
        long differenceMilliseconds = offsetMilliseconds - mOffsetMilliseconds;
        if (differenceMilliseconds >= 0 && differenceMilliseconds < MIN_SUSPENSION_MILLISECONDS) {
            return 0;
        }
        mOffsetMilliseconds = offsetMilliseconds;
        return Math.max(0, differenceMilliseconds);
    }
}
