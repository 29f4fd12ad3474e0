package org.skylarkbend.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import org.skylarkbend.limits.LimitMessage.ReportEntry;

/** Tokens of one customer held by a router, and the calls that wait for tokens. */
final class ShareLedger {
    /**
     * A call that waits for tokens.
     *
     * @param callId the call
     * @param tokens the tokens that it needs
     * @param sinceMilliseconds the time since which it waits
     * @param sinceSequence the number of the last report before it
     */
    record Waiting(long callId, long tokens, long sinceMilliseconds, long sinceSequence) {}

    private static final double AVERAGING_WINDOW_MILLISECONDS = 1_000;

    private final Deque<Waiting> mWaiting = new ArrayDeque<>();
    private CustomerLimit mLimit;
    private long mBaseTokens;
    private long mGrantedTokens;
    private long mUsedTokens;
    private long mReturnedTokens;
    private long mReservedTokens;
    private long mDemandTokens;
    private double mDemandTokensPerMillisecond;
    private long mReportedUsedTokens;
    private long mDirtySequence;
    private boolean mVoidsGrants;

    ShareLedger(CustomerLimit limit) {
        mLimit = limit;
    }

    CustomerLimit limit() {
        return mLimit;
    }

    void changeLimit(CustomerLimit limit) {
        mLimit = limit;
    }

    Deque<Waiting> waiting() {
        return mWaiting;
    }

    long heldTokens() {
        return mBaseTokens + mGrantedTokens - mUsedTokens - mReturnedTokens;
    }

    long freeTokens() {
        return heldTokens() - mReservedTokens;
    }

    void countDemand(long tokens) {
        mDemandTokens += tokens;
    }

    void reserve(long tokens) {
        mReservedTokens += tokens;
    }

    void use(long reservedTokens) {
        mReservedTokens -= reservedTokens;
        mUsedTokens += reservedTokens;
    }

    void unreserve(long tokens) {
        mReservedTokens -= tokens;
    }

    void returnTokens(long tokens) {
        mReturnedTokens += tokens;
    }

    void joinTerm() {
        mBaseTokens = heldTokens();
        mGrantedTokens = 0;
        mUsedTokens = 0;
        mReportedUsedTokens = 0;
        mReturnedTokens = 0;
        mVoidsGrants = false;
    }

    /**
     * Gives up the free tokens and the grants that are still on their way. Returns whether this is
     * to be reported.
     */
    boolean lapse() {
        boolean changed = freeTokens() > 0 || !mVoidsGrants;
        mReturnedTokens += Math.max(0, freeTokens());
        mVoidsGrants = true;
        return changed;
    }

    /**
     * Updates the total of grants. A total that is lower than the current one is stale and changes
     * nothing. After a lapse, grants are given up at once, up to the first total in a response to a
     * recent report: the owner may have stopped counting what it granted before.
     *
     * @param totalTokens the total of all grants since the router joined the term
     * @param isRecent true if the total responds to a report that was sent recently
     * @return whether grants were given up
     */
    boolean granted(long totalTokens, boolean isRecent) {
        long newTokens = Math.max(0, totalTokens - mGrantedTokens);
        mGrantedTokens += newTokens;
        if (!mVoidsGrants) {
            return false;
        }
        mReturnedTokens += newTokens;
        mVoidsGrants = !isRecent;
        return newTokens > 0;
    }

    void markDirty(long nextSequence) {
        mDirtySequence = nextSequence;
    }

    boolean isDirty(long confirmedSequence) {
        return mDirtySequence > confirmedSequence || !mWaiting.isEmpty() || mVoidsGrants;
    }

    /** Returns whether the use since the last report is large enough to report it soon. */
    boolean hasLargeUnreportedUse(LimitPolicy policy) {
        long unreportedTokens = mUsedTokens - mReportedUsedTokens;
        return unreportedTokens > mLimit.burstTokens() / policy.reserveDivisor();
    }

    /** Returns whether the router has no tokens, grants or waiting calls to report. */
    boolean isEmpty() {
        return mBaseTokens == 0 && mGrantedTokens == 0 && mWaiting.isEmpty();
    }

    /** Adds the demand since the last call to the moving average. */
    void updateAverageDemand(long elapsedMilliseconds) {
        double recent = mDemandTokens / (double) Math.max(1, elapsedMilliseconds);
        double weight = Math.min(1, elapsedMilliseconds / AVERAGING_WINDOW_MILLISECONDS);
        mDemandTokensPerMillisecond += weight * (recent - mDemandTokensPerMillisecond);
        if (mDemandTokensPerMillisecond * LimitShareDecider.DEMAND_RETENTION_MILLISECONDS < 1) {
            mDemandTokensPerMillisecond = 0;
        }
        mDemandTokens = 0;
    }

    /** Returns the number of free tokens that the router aims to hold in advance of calls. */
    long prefetchTokens(LimitPolicy policy) {
        if (mDemandTokensPerMillisecond == 0) {
            return 0;
        }
        double expectedTokens = mDemandTokensPerMillisecond * policy.prefetchMilliseconds();
        long minTokens = mLimit.burstTokens() / policy.reserveDivisor();
        long maxTokens = policy.maxHeldTokens(mLimit) / 2;
        return Math.min(maxTokens, Math.max(minTokens, (long) expectedTokens));
    }

    /** Returns the entry for the next report. */
    ReportEntry entry(LimitPolicy policy) {
        mReportedUsedTokens = mUsedTokens;
        long waitingTokens = mWaiting.stream().mapToLong(Waiting::tokens).sum();
        long freeTokens = freeTokens();
        long firstWaitingTokens = mWaiting.isEmpty() ? 0 : mWaiting.peek().tokens() - freeTokens;
        long pendingTokens = Math.max(0, waitingTokens - freeTokens);
        long prefetchTokens = Math.max(0, prefetchTokens(policy) - Math.max(0, freeTokens));
        return new ReportEntry(
                mLimit.customer(),
                mBaseTokens,
                mUsedTokens,
                mReturnedTokens,
                mGrantedTokens,
                Math.max(0, firstWaitingTokens),
                pendingTokens,
                prefetchTokens,
                mVoidsGrants);
    }
}
