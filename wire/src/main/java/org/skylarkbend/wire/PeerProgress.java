package org.skylarkbend.wire;

/** Decides whether a peer is silent. Parts of a frame count only if there are enough of them. */
final class PeerProgress {
    /**
     * Part of a frame that a sound peer sends in the time of a silence: a fifth of the 11 KB a
     * second that control may cost a node.
     */
    static final int MIN_PART_BYTES = 4 * 1024;

    private final long mSilenceMilliseconds;
    private long mLastMilliseconds;
    private long mPartBytes;

    PeerProgress(long silenceMilliseconds, long nowMilliseconds) {
        mSilenceMilliseconds = silenceMilliseconds;
        mLastMilliseconds = nowMilliseconds;
    }

    /** Records received bytes, and whether they completed a frame. */
    void received(int bytes, boolean completedFrame, long nowMilliseconds) {
        mPartBytes += bytes;
        if (completedFrame || mPartBytes >= MIN_PART_BYTES) {
            mPartBytes = 0;
            mLastMilliseconds = nowMilliseconds;
        }
    }

    /** Returns whether the peer has made no progress for the time of a silence. */
    boolean isSilent(long nowMilliseconds) {
        return nowMilliseconds - mLastMilliseconds > mSilenceMilliseconds;
    }
}
