package org.skylarkbend.limits;

import java.util.HashMap;
import java.util.Map;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.Report;

/** Holdings of one router incarnation, as known to the owner. */
final class RouterHoldings {
    /** Time after which a grant that the router has not reported counts as lost. */
    private static final long LOST_AFTER_MILLISECONDS = 500;

    /** Totals of one customer since the incarnation joined the term. */
    static final class Holding {
        private long mBaseTokens;
        private long mGrantedTokens;
        private long mUsedTokens;
        private long mReturnedTokens;
        private long mGrantSentMilliseconds;
        private long mReclaimedTokens;

        /** Returns the maximum number of tokens that the incarnation can still spend. */
        long heldTokens() {
            return mBaseTokens + mGrantedTokens - mUsedTokens - mReturnedTokens;
        }

        long grantedTokens() {
            return mGrantedTokens;
        }

        void grant(long tokens, long nowMilliseconds) {
            mGrantedTokens += tokens;
            mGrantSentMilliseconds = nowMilliseconds;
        }

        /**
         * Returns whether a report shows that grants were lost: it lacks tokens that were sent long
         * enough ago to have arrived.
         */
        boolean lacksGrants(LimitMessage.ReportEntry entry, long nowMilliseconds) {
            return entry.grantedTokens() < mGrantedTokens
                    && nowMilliseconds - mGrantSentMilliseconds >= LOST_AFTER_MILLISECONDS;
        }

        /** Records that the total of the grants is sent again. */
        void grantsRepeated(long nowMilliseconds) {
            mGrantSentMilliseconds = nowMilliseconds;
        }

        /**
         * Updates the totals from a report and returns the tokens newly returned since the previous
         * one, less those that were reclaimed before.
         */
        long update(LimitMessage.ReportEntry entry) {
            long newlyReturnedTokens = Math.max(0, entry.returnedTokens() - mReturnedTokens);
            mBaseTokens = entry.baseTokens();
            long newlyUsedTokens = Math.max(0, entry.usedTokens() - mUsedTokens);
            mUsedTokens += newlyUsedTokens;
            mReturnedTokens += newlyReturnedTokens;
            long reclaimedTokens = Math.min(mReclaimedTokens, newlyReturnedTokens);
            mReclaimedTokens = Math.max(0, mReclaimedTokens - reclaimedTokens - newlyUsedTokens);
            return newlyReturnedTokens - reclaimedTokens;
        }

        /** Records that the bucket fills in place of the held tokens, so they must not return. */
        private void reclaim() {
            mReclaimedTokens = heldTokens();
        }
    }

    private final Map<ObjectName, Holding> mHoldings = new HashMap<>();
    private boolean mKnown;
    private boolean mEnded;
    private long mLastSequence;
    private long mExpiresAtMilliseconds = Long.MAX_VALUE;
    private long mAwaitedSinceMilliseconds = Long.MAX_VALUE;
    private boolean mReclaimed;

    /** Returns whether the incarnation has reported everything that it holds in this term. */
    boolean isKnown() {
        return mKnown;
    }

    void markKnown() {
        mKnown = true;
    }

    long lastSequence() {
        return mLastSequence;
    }

    /** Records a report and returns whether it is newer than all previous ones. */
    boolean isNewest(Report report) {
        boolean newest = report.sequence() > mLastSequence;
        mLastSequence = Math.max(mLastSequence, report.sequence());
        return newest;
    }

    /** Records that the owner waits for a report, unless it waits for one already. */
    void await(long nowMilliseconds) {
        mAwaitedSinceMilliseconds = Math.min(mAwaitedSinceMilliseconds, nowMilliseconds);
    }

    /** Returns whether the owner has waited for a report since the given time or longer. */
    boolean isAwaitedSince(long atMilliseconds) {
        return mAwaitedSinceMilliseconds <= atMilliseconds;
    }

    /** Stops counting the tokens of the incarnation until it reports again. */
    void reclaim() {
        mReclaimed = true;
        mHoldings.values().forEach(Holding::reclaim);
    }

    /** Returns whether the tokens of the incarnation do not count at present. */
    boolean isReclaimed() {
        return mReclaimed;
    }

    /** Records that a report has arrived. */
    void reported() {
        mAwaitedSinceMilliseconds = Long.MAX_VALUE;
        mReclaimed = false;
    }

    /** Records that the incarnation has certainly ended. It is removed at the given time. */
    void end(long expiresAtMilliseconds) {
        mEnded = true;
        mExpiresAtMilliseconds = Math.min(mExpiresAtMilliseconds, expiresAtMilliseconds);
    }

    /**
     * Records that the incarnation has probably ended. It is removed at the given time unless it
     * reports before.
     */
    void expectEndBy(long expiresAtMilliseconds) {
        mExpiresAtMilliseconds = Math.min(mExpiresAtMilliseconds, expiresAtMilliseconds);
    }

    /**
     * Records a sign of life, which cancels the removal unless the incarnation has certainly ended.
     */
    void markAlive() {
        if (!mEnded) {
            mExpiresAtMilliseconds = Long.MAX_VALUE;
        }
    }

    long expiresAtMilliseconds() {
        return mExpiresAtMilliseconds;
    }

    Holding of(ObjectName customer) {
        return mHoldings.computeIfAbsent(customer, name -> new Holding());
    }

    Map<ObjectName, Holding> all() {
        return mHoldings;
    }
}
