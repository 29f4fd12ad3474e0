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
         * one.
         */
        long update(LimitMessage.ReportEntry entry) {
            long newlyReturnedTokens = Math.max(0, entry.returnedTokens() - mReturnedTokens);
            mBaseTokens = entry.baseTokens();
            mUsedTokens = Math.max(mUsedTokens, entry.usedTokens());
            mReturnedTokens += newlyReturnedTokens;
            return newlyReturnedTokens;
        }
    }

    private final Map<ObjectName, Holding> mHoldings = new HashMap<>();
    private boolean mKnown;
    private boolean mEnded;
    private long mLastSequence;
    private long mExpiresAtMilliseconds = Long.MAX_VALUE;

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
