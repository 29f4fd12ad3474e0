package org.skylarkbend.testing;

import org.skylarkbend.base.MillisecondClock;

/** A clock that advances only when the test advances it. */
public final class ManualClock implements MillisecondClock {
    private long mNowMilliseconds;

    /** Creates a clock set to this time. */
    public ManualClock(long nowMilliseconds) {
        mNowMilliseconds = nowMilliseconds;
    }

    @Override
    public long nowMilliseconds() {
        return mNowMilliseconds;
    }

    /** Advances the clock by this duration. */
    public void advance(long milliseconds) {
        mNowMilliseconds += milliseconds;
    }
}
