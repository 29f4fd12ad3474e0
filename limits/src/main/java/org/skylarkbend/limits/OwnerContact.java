package org.skylarkbend.limits;

import java.util.TreeMap;

/** The age of the newest report of a router that an owner has confirmed. */
final class OwnerContact {
    private final long mLapseMilliseconds;
    private final TreeMap<Long, Long> mSentAtMilliseconds = new TreeMap<>();
    private long mConfirmedMilliseconds;

    /**
     * Creates a contact that counts as confirmed at the given time.
     *
     * @param lapseMilliseconds the age at which a contact is lost; 0 if it never is
     */
    OwnerContact(long lapseMilliseconds, long nowMilliseconds) {
        mLapseMilliseconds = lapseMilliseconds;
        mConfirmedMilliseconds = nowMilliseconds;
    }

    /** Records that a report was sent. */
    void sent(long sequence, long nowMilliseconds) {
        while (!mSentAtMilliseconds.isEmpty()
                && isLost(mSentAtMilliseconds.firstEntry().getValue(), nowMilliseconds)) {
            mSentAtMilliseconds.pollFirstEntry();
        }
        if (mLapseMilliseconds > 0) {
            mSentAtMilliseconds.put(sequence, nowMilliseconds);
        }
    }

    /**
     * Records that an owner has received a report. What counts is when the report was sent.
     *
     * @return whether it was sent recently, so that the owner counts the tokens of the router
     */
    boolean confirmed(long sequence, long nowMilliseconds) {
        if (mLapseMilliseconds == 0) {
            return true;
        }
        Long sentMilliseconds = mSentAtMilliseconds.get(sequence);
        if (sentMilliseconds == null || isLost(sentMilliseconds, nowMilliseconds)) {
            return false;
        }
        mConfirmedMilliseconds = Math.max(mConfirmedMilliseconds, sentMilliseconds);
        return true;
    }

    /** Returns whether no report of the last time has been confirmed. */
    boolean isLost(long nowMilliseconds) {
        return isLost(mConfirmedMilliseconds, nowMilliseconds);
    }

    private boolean isLost(long sinceMilliseconds, long nowMilliseconds) {
        return mLapseMilliseconds > 0 && nowMilliseconds - sinceMilliseconds >= mLapseMilliseconds;
    }
}
