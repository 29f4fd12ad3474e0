package org.skylarkbend.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Token bucket of one customer at the limit owner, with the routers' pending requests for tokens.
 *
 * <p>The level is kept in thousandths of a token, so that a rate in whole tokens per second adds a
 * whole number of thousandths in each millisecond.
 */
final class CustomerBucket {
    /** Tokens that a router has requested for this customer. */
    record TokenRequest(long firstWaitingTokens, long pendingTokens, long prefetchTokens) {}

    private static final long THOUSANDTHS_PER_TOKEN = 1_000;

    private final Map<RouterIdentity, TokenRequest> mRequests = new LinkedHashMap<>();
    private CustomerLimit mLimit;
    private long mLevelThousandths;
    private long mMaxThousandths;
    private long mFilledAtMilliseconds;
    private long mHeldTokens;
    private boolean mExhausted;

    /**
     * Creates a bucket whose initial level covers only the time during which no owner can have
     * existed, because the previous owner may have granted everything else.
     */
    CustomerBucket(CustomerLimit limit, long initialTokens, long nowMilliseconds) {
        mLimit = limit;
        mLevelThousandths = initialTokens * THOUSANDTHS_PER_TOKEN;
        mMaxThousandths = mLevelThousandths;
        mFilledAtMilliseconds = nowMilliseconds;
    }

    CustomerLimit limit() {
        return mLimit;
    }

    void changeLimit(CustomerLimit limit) {
        mLimit = limit;
    }

    /**
     * Fills the bucket up to the given time. The level never exceeds the burst less all held
     * tokens. Tokens that unreported routers may hold reduce what can be filled in and granted, but
     * are not deducted from the current level.
     */
    void fill(long nowMilliseconds, long unreportedHeldTokens) {
        long elapsedMilliseconds = Math.max(0, nowMilliseconds - mFilledAtMilliseconds);
        mFilledAtMilliseconds = Math.max(mFilledAtMilliseconds, nowMilliseconds);
        long capacityThousandths =
                Math.max(0, (mLimit.burstTokens() - mHeldTokens) * THOUSANDTHS_PER_TOKEN);
        mMaxThousandths =
                Math.max(0, capacityThousandths - unreportedHeldTokens * THOUSANDTHS_PER_TOKEN);
        mLevelThousandths = Math.min(mLevelThousandths, capacityThousandths);
        long missingThousandths = mMaxThousandths - mLevelThousandths;
        long rate = mLimit.tokensPerSecond();
        if (missingThousandths > 0) {
            boolean isFull = elapsedMilliseconds > missingThousandths / rate;
            mLevelThousandths += isFull ? missingThousandths : rate * elapsedMilliseconds;
        }
    }

    /** Returns the tokens that may be granted now. */
    long levelTokens() {
        return Math.min(mLevelThousandths, mMaxThousandths) / THOUSANDTHS_PER_TOKEN;
    }

    /** Moves tokens from the bucket to a router. */
    void grant(long tokens) {
        mLevelThousandths -= tokens * THOUSANDTHS_PER_TOKEN;
        mMaxThousandths -= tokens * THOUSANDTHS_PER_TOKEN;
        mHeldTokens += tokens;
    }

    /** Returns unused tokens to the bucket. */
    void addReturnedTokens(long tokens) {
        mLevelThousandths += tokens * THOUSANDTHS_PER_TOKEN;
        mMaxThousandths += tokens * THOUSANDTHS_PER_TOKEN;
    }

    /** Adds a change, which may be negative, to the tokens held by known routers. */
    void addHeldTokens(long deltaTokens) {
        mHeldTokens += deltaTokens;
    }

    /** Returns the tokens held by known routers. */
    long heldTokens() {
        return mHeldTokens;
    }

    Map<RouterIdentity, TokenRequest> requests() {
        return mRequests;
    }

    /** Returns whether a waiting call needs more tokens than the bucket has. */
    boolean isExhausted() {
        return mExhausted;
    }

    void setExhausted(boolean isExhausted) {
        mExhausted = isExhausted;
    }
}
