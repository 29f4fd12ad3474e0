package org.skylarkbend.gateway.call;

/** When the events of a response arrived. It is confined to the task that serves the calls. */
final class StreamTiming {
    private static final long NONE_MILLISECONDS = -1;

    private final long mArrivedMilliseconds;
    private long mFirstMilliseconds = NONE_MILLISECONDS;
    private long mLastMilliseconds;
    private long mLongestGapMilliseconds;

    /** Creates the timing of a call that has just arrived. */
    StreamTiming(long arrivedMilliseconds) {
        mArrivedMilliseconds = arrivedMilliseconds;
    }

    /** Records that events were passed on to the caller. */
    void eventsArrived(long nowMilliseconds) {
        if (mFirstMilliseconds == NONE_MILLISECONDS) {
            mFirstMilliseconds = nowMilliseconds;
        } else {
            mLongestGapMilliseconds =
                    Math.max(mLongestGapMilliseconds, nowMilliseconds - mLastMilliseconds);
        }
        mLastMilliseconds = nowMilliseconds;
    }

    /** Returns the time from the arrival of the call to the first event; -1 if there was none. */
    long firstEventMilliseconds() {
        return mFirstMilliseconds == NONE_MILLISECONDS
                ? NONE_MILLISECONDS
                : mFirstMilliseconds - mArrivedMilliseconds;
    }

    /** Returns the longest time between two events. */
    long longestGapMilliseconds() {
        return mLongestGapMilliseconds;
    }
}
