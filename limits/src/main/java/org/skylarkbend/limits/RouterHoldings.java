package org.skylarkbend.limits;

import java.util.HashMap;
import java.util.Map;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.Report;

/** Holdings of one router incarnation, as known to the owner. */
final class RouterHoldings {
    /** Totals of one customer since the incarnation joined the term. */
    static final class Holding {
        private long mBaseTokens;
        private long mGrantedTokens;
        private long mUsedTokens;
        private long mReturnedTokens;

        /** Returns the maximum number of tokens that the incarnation can still spend. */
        long heldTokens() {
            return mBaseTokens + mGrantedTokens - mUsedTokens - mReturnedTokens;
        }

        long grantedTokens() {
            return mGrantedTokens;
        }

        void grant(long tokens) {
            mGrantedTokens += tokens;
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
