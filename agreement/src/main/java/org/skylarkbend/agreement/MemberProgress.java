package org.skylarkbend.agreement;

/** How far a leader has brought another member. Owned by one decider. */
final class MemberProgress {
    long mNextIndex;
    long mMatchIndex;
    long mAcknowledgedRound;
    long mLastResponseMilliseconds;
    boolean mProbing;
    int mSnapshotOffsetBytes;
    long mSnapshotIndex;
    long mChunkSentAtMilliseconds;

    MemberProgress(long nextIndex, long nowMilliseconds) {
        mNextIndex = nextIndex;
        mLastResponseMilliseconds = nowMilliseconds;
    }

    boolean isLive(long nowMilliseconds, long timeoutMilliseconds) {
        return nowMilliseconds - mLastResponseMilliseconds <= timeoutMilliseconds;
    }

    void recordResponse(long round, long nowMilliseconds) {
        mAcknowledgedRound = Math.max(mAcknowledgedRound, round);
        mLastResponseMilliseconds = nowMilliseconds;
    }

    void recordMatch(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        mProbing = false;
    }

    /**
     * Goes back to an index at which the other log may agree. From then on one request goes out a
     * heartbeat until one matches. Answers whether one should go out at once.
     */
    boolean recordMismatch(long retryIndex) {
        boolean wasProbing = mProbing;
        mProbing = true;
        mNextIndex = Math.max(mMatchIndex + 1, Math.min(mNextIndex - 1, retryIndex + 1));
        return !wasProbing;
    }
}
