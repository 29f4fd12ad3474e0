package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;

/** Answers readers who must know that this member still leads. */
final class LeadershipConfirmations {
    private final MemberState mState;
    private final LeaderReplication mLeaderReplication;
    private final Deque<PendingConfirmation> mPending = new ArrayDeque<>();

    /** A reader, and the round that must be answered by a quorum first. */
    private record PendingConfirmation(long confirmationId, long round) {}

    LeadershipConfirmations(MemberState state, LeaderReplication replication) {
        mState = state;
        mLeaderReplication = replication;
    }

    /** Takes a reader. Readers that come while a round is under way share the next one. */
    void submit(long confirmationId, long nowMilliseconds) {
        if (!mState.isLeader()) {
            fail(confirmationId);
            return;
        }
        if (mState.mOptions.leaseReads() && isLeaseValid(nowMilliseconds) && hasCommittedInTerm()) {
            confirm(confirmationId);
            return;
        }
        mPending.add(new PendingConfirmation(confirmationId, mLeaderReplication.round() + 1));
    }

    /** Starts a round when readers wait for one and none is under way. */
    void startRoundIfNeeded(long nowMilliseconds) {
        boolean needsNextRound =
                !mPending.isEmpty() && mPending.peekLast().round() > mLeaderReplication.round();
        if (needsNextRound && mLeaderReplication.quorumRound() == mLeaderReplication.round()) {
            mLeaderReplication.startRound(nowMilliseconds);
        }
    }

    /** Answers the readers whose round a quorum has answered. */
    void confirmPending() {
        if (mPending.isEmpty() || !hasCommittedInTerm()) {
            return;
        }
        long acknowledged = mLeaderReplication.quorumRound();
        while (!mPending.isEmpty() && mPending.peek().round() <= acknowledged) {
            confirm(mPending.poll().confirmationId());
        }
    }

    /** Refuses all readers, since this member leads no more. */
    void failAll() {
        mPending.forEach(pending -> fail(pending.confirmationId()));
        mPending.clear();
    }

    /** Whether no other member can have been elected yet. */
    boolean isLeaseValid(long nowMilliseconds) {
        long leaseEndMilliseconds =
                mLeaderReplication.quorumRoundSentAtMilliseconds()
                        + mState.mOptions.leaseMilliseconds();
        boolean isAlone = mState.mLog.membership().quorum() == 1;
        return isAlone || nowMilliseconds < leaseEndMilliseconds;
    }

    /** Until then an entry that a former leader committed may be unknown here. */
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

    private void fail(long confirmationId) {
        mState.mOutbox.add(
                new AgreementEffect.ConfirmationFailed(
                        confirmationId,
                        new SkylarkError(ErrorKind.NO_LEADER, "this control VM does not lead")));
    }
}
