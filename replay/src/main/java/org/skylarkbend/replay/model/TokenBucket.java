package org.skylarkbend.replay.model;

import org.skylarkbend.replay.trace.TraceCustomer;

/** Token bucket of a customer, shared by all routers without delay. */
final class TokenBucket {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final TraceCustomer mCustomer;
    private double mTokens;
    private long mRefilledAtMilliseconds;

    TokenBucket(TraceCustomer customer) {
        mCustomer = customer;
        mTokens = customer.burstTokens();
    }

    /** Consumes the tokens if the bucket contains them, and returns whether it did. */
    boolean tryConsume(long tokens, long nowMilliseconds) {
        double elapsedSeconds =
                (nowMilliseconds - mRefilledAtMilliseconds) / MILLISECONDS_PER_SECOND;
        double refilledTokens = mTokens + elapsedSeconds * mCustomer.tokensPerSecond();
        mTokens = Math.min(mCustomer.burstTokens(), refilledTokens);
        mRefilledAtMilliseconds = nowMilliseconds;
        if (mTokens < tokens) {
            return false;
        }
        mTokens -= tokens;
        return true;
    }
}
