package org.skylarkbend.gateway.call;

/** When the events of a response arrived. It is confined to the task that serves the calls. */
final class StreamTiming {
    private static final long NONE_MILLISECONDS = -1;

    private final long mArrivedMilliseconds;
    private long mAttemptMilliseconds;
    private long mAttemptFirstMilliseconds = NONE_MILLISECONDS;
    private long mFirstMilliseconds = NONE_MILLISECONDS;
    private long mLastMilliseconds;
    private long mLongestGapMilliseconds;

    /** Creates the timing of a call that has just arrived. */
    StreamTiming(long arrivedMilliseconds) {
        mArrivedMilliseconds = arrivedMilliseconds;
    }

    /** Records that the call was sent to an endpoint. */
    void attemptStarted(long nowMilliseconds) {
        mAttemptMilliseconds = nowMilliseconds;
        mAttemptFirstMilliseconds = NONE_MILLISECONDS;
    }

    /** Records that events were passed on to the caller. */
    void eventsArrived(long nowMilliseconds) {
        if (mAttemptFirstMilliseconds == NONE_MILLISECONDS) {
            mAttemptFirstMilliseconds = nowMilliseconds;
        }
        if (mFirstMilliseconds == NONE_MILLISECONDS) {
            mFirstMilliseconds = nowMilliseconds;
        } else {
            mLongestGapMilliseconds =
                    Math.max(mLongestGapMilliseconds, nowMilliseconds - mLastMilliseconds);
        }
        mLastMilliseconds = nowMilliseconds;
    }

    /**
     * Returns the time from the last attempt to its first event, or until now if it has sent none.
     */
    long attemptFirstEventMilliseconds(long nowMilliseconds) {
        boolean hasEvent = mAttemptFirstMilliseconds != NONE_MILLISECONDS;
        return (hasEvent ? mAttemptFirstMilliseconds : nowMilliseconds) - mAttemptMilliseconds;
    }

    /** Returns the time since the first event of the last attempt; 0 if it has sent none. */
    long attemptStreamMilliseconds(long nowMilliseconds) {
        boolean hasEvent = mAttemptFirstMilliseconds != NONE_MILLISECONDS;
        return hasEvent ? nowMilliseconds - mAttemptFirstMilliseconds : 0;
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
