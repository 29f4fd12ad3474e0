package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;

/** Confirms to readers that this member is still the leader. */
final class LeadershipConfirmations {
    private static final String NOT_LEADER = "this control VM is not the leader";

    private final MemberState mState;
    private final LeaderReplication mLeaderReplication;
    private final Deque<PendingConfirmation> mPending = new ArrayDeque<>();

    /** A pending request and the heartbeat round that a quorum must acknowledge first. */
    private record PendingConfirmation(
            long confirmationId, long round, long submittedAtMilliseconds) {}

    LeadershipConfirmations(MemberState state, LeaderReplication replication) {
        mState = state;
        mLeaderReplication = replication;
    }

    /** Accepts a request. Requests that arrive while a round is in flight share the next round. */
    void submit(long confirmationId, long nowMilliseconds) {
        if (!mState.isLeader()) {
            fail(confirmationId, NOT_LEADER);
            return;
        }
        if (mState.mOptions.leaseReads() && isLeaseValid(nowMilliseconds) && hasCommittedInTerm()) {
            confirm(confirmationId);
            return;
        }
        long round = mLeaderReplication.round() + 1;
        mPending.add(new PendingConfirmation(confirmationId, round, nowMilliseconds));
    }

    /**
     * Fails requests older than the maximum election timeout. While no entry of the term can be
     * written, none can be confirmed, and they would add up.
     */
    void failOld(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - mState.mOptions.electionMaxMilliseconds();
        while (!mPending.isEmpty()
                && mPending.peek().submittedAtMilliseconds() < oldestMilliseconds) {
            fail(mPending.poll().confirmationId(), "leadership could not be confirmed in time");
        }
    }

    /** Starts a round if requests are pending for the next one and none is in flight. */
    void startRoundIfNeeded(long nowMilliseconds) {
        boolean needsNextRound =
                !mPending.isEmpty() && mPending.peekLast().round() > mLeaderReplication.round();
        if (needsNextRound && mLeaderReplication.quorumRound() == mLeaderReplication.round()) {
            mLeaderReplication.startRound(nowMilliseconds);
        }
    }

    /** Confirms the pending requests whose round a quorum has acknowledged. */
    void confirmPending() {
        if (mPending.isEmpty() || !hasCommittedInTerm()) {
            return;
        }
        long acknowledged = mLeaderReplication.quorumRound();
        while (!mPending.isEmpty() && mPending.peek().round() <= acknowledged) {
            confirm(mPending.poll().confirmationId());
        }
    }

    /** Fails all pending requests because this member is no longer the leader. */
    void failAll() {
        mPending.forEach(pending -> fail(pending.confirmationId(), NOT_LEADER));
        mPending.clear();
    }

    /** Returns whether the lease rules out that another member has been elected. */
    boolean isLeaseValid(long nowMilliseconds) {
        long leaseEndMilliseconds =
                mLeaderReplication.quorumRoundSentAtMilliseconds()
                        + mState.mOptions.leaseMilliseconds();
        boolean isAlone = mState.mLog.membership().quorum() == 1;
        return isAlone || nowMilliseconds < leaseEndMilliseconds;
    }

    /**
     * Returns whether an entry of the current term is committed. Before that, this member may not
     * know of entries that a former leader committed.
     */
    private boolean hasCommittedInTerm() {
        return mState.mLog
                .termAt(mState.mCommitIndex)
                .filter(term -> term == mState.mTerm)
                .isPresent();
    }

    private void confirm(long confirmationId) {
        mState.mOutbox.add(
                new AgreementEffect.LeadershipConfirmed(confirmationId, mState.mCommitIndex));
    }

    private void fail(long confirmationId, String detail) {
        mState.mOutbox.add(
                new AgreementEffect.ConfirmationFailed(
                        confirmationId, new SkylarkError(ErrorKind.NO_LEADER, detail)));
    }
}
