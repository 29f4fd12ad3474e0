package org.skylarkbend.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The bucket of one customer at its owner, and who waits for tokens out of it.
 *
 * <p>The level is kept in thousandths of a token, so that whole tokens a second fill it exactly in
 * whole milliseconds.
 */
final class CustomerBucket {
    /** What a router asked for. */
    record Want(long firstTokens, long wantedTokens, long aheadTokens) {}

    private static final long THOUSANDTHS = 1_000;

    private final Map<RouterIdentity, Want> mWants = new LinkedHashMap<>();
    private CustomerLimit mLimit;
    private long mLevelThousandths;
    private long mMostThousandths;
    private long mFilledAtMilliseconds;
    private long mHeldTokens;
    private boolean mShort;

    /**
     * A bucket that holds no more than what came in since nobody owned it: whoever filled it before
     * may have given everything away.
     */
    CustomerBucket(CustomerLimit limit, long headStartTokens, long nowMilliseconds) {
        mLimit = limit;
        mLevelThousandths = headStartTokens * THOUSANDTHS;
        mMostThousandths = mLevelThousandths;
        mFilledAtMilliseconds = nowMilliseconds;
    }

    CustomerLimit limit() {
        return mLimit;
    }

    void changeLimit(CustomerLimit limit) {
        mLimit = limit;
    }

    /**
     * Fills the bucket up to now, as far as the burst leaves room beside all that is held. What
     * silent routers may hold keeps the bucket from filling and from giving, but takes nothing away
     * that it has.
     */
    void fill(long nowMilliseconds, long silentHeldTokens) {
        long elapsedMilliseconds = Math.max(0, nowMilliseconds - mFilledAtMilliseconds);
        mFilledAtMilliseconds = Math.max(mFilledAtMilliseconds, nowMilliseconds);
        long roomThousandths = Math.max(0, (mLimit.burstTokens() - mHeldTokens) * THOUSANDTHS);
        mMostThousandths = Math.max(0, roomThousandths - silentHeldTokens * THOUSANDTHS);
        mLevelThousandths = Math.min(mLevelThousandths, roomThousandths);
        long missingThousandths = mMostThousandths - mLevelThousandths;
        long rate = mLimit.tokensPerSecond();
        if (missingThousandths > 0) {
            boolean isFull = elapsedMilliseconds > missingThousandths / rate;
            mLevelThousandths += isFull ? missingThousandths : rate * elapsedMilliseconds;
        }
    }

    /** The tokens that may be given away. */
    long levelTokens() {
        return Math.min(mLevelThousandths, mMostThousandths) / THOUSANDTHS;
    }

    /** Moves tokens from the bucket to a router. */
    void grant(long tokens) {
        mLevelThousandths -= tokens * THOUSANDTHS;
        mMostThousandths -= tokens * THOUSANDTHS;
        mHeldTokens += tokens;
    }

    /** Tokens came back unused: the bucket holds them again. */
    void takeBack(long tokens) {
        mLevelThousandths += tokens * THOUSANDTHS;
        mMostThousandths += tokens * THOUSANDTHS;
    }

    /** What known routers hold has changed. */
    void heldChanged(long byTokens) {
        mHeldTokens += byTokens;
    }

    Map<RouterIdentity, Want> wants() {
        return mWants;
    }

    /** Whether a call waits for the bucket to fill. */
    boolean isShort() {
        return mShort;
    }

    void setShort(boolean isShort) {
        mShort = isShort;
    }
}
