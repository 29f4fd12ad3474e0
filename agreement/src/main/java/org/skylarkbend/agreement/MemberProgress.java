package org.skylarkbend.agreement;

/** The replication progress of another member, as tracked by the leader. Owned by one decider. */
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

    long silentMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - mLastResponseMilliseconds;
    }

    boolean isLive(long nowMilliseconds, long timeoutMilliseconds) {
        return silentMilliseconds(nowMilliseconds) <= timeoutMilliseconds;
    }

    /** Returns whether the member has responded at all since the leader tracks it. */
    boolean hasResponded() {
        return mAcknowledgedRound > 0;
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
     * Moves the next index back to where the logs may match. Until a request matches, only one is
     * sent per heartbeat. Returns whether a request should be sent immediately.
     */
    boolean recordMismatch(long retryIndex) {
        boolean wasProbing = mProbing;
        mProbing = true;
        mNextIndex = Math.max(mMatchIndex + 1, Math.min(mNextIndex - 1, retryIndex + 1));
        return !wasProbing;
    }
}
