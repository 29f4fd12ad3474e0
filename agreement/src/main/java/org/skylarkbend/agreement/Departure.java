package org.skylarkbend.agreement;

import org.skylarkbend.agreement.AgreementMessage.LeaveRequest;
import org.skylarkbend.agreement.AgreementMessage.LeaveResponse;

/**
 * Tells the leader that this member is about to end, until it is known whether the member remains a
 * voter. The request is repeated with each tick, so that a lost message or leader does no harm.
 */
final class Departure {
    private final MemberState mState;
    private final MembershipChanges mMembershipChanges;
    private boolean mDecided;

    Departure(MemberState state, MembershipChanges membershipChanges) {
        mState = state;
        mMembershipChanges = membershipChanges;
    }

    /** Begins to leave. From now on the member does not announce itself and stands last. */
    void begin() {
        mState.beginToLeave();
    }

    /** Asks the leader for the removal of this member, or decides about it as the leader. */
    void tick(long nowMilliseconds) {
        if (!mState.mIsLeaving || mDecided) {
            return;
        }
        if (mState.isLeader()) {
            receive(mState.mSelf, nowMilliseconds);
        } else if (!mState.isVoter() && isMembershipCommitted()) {
            decided(LeaveOutcome.REMOVED);
        } else if (mState.mLeader.isPresent()) {
            mState.mOutbox.send(mState.mLeader.get(), new LeaveRequest());
        } else {
            mState.mOutbox.add(new AgreementEffect.Broadcast(new LeaveRequest()));
        }
    }

    /**
     * Processes, on the leader, that a member is about to end. There is no response until a change
     * that removes it is committed.
     */
    void receive(MemberId from, long nowMilliseconds) {
        boolean isVoter = mState.mLog.membership().contains(from);
        if (isVoter) {
            mMembershipChanges.receiveLeave(from, nowMilliseconds);
        }
        boolean isDecided = !isVoter || !mMembershipChanges.mayRemove(nowMilliseconds);
        if (isDecided && isMembershipCommitted()) {
            respond(from, !isVoter);
        }
    }

    /** Processes the response of the leader. */
    void receive(LeaveResponse response) {
        if (mState.mIsLeaving && !mDecided) {
            decided(response.removed() ? LeaveOutcome.REMOVED : LeaveOutcome.REMAINS);
        }
    }

    private boolean isMembershipCommitted() {
        return mState.mLog.membershipIndex() <= mState.mCommitIndex;
    }

    private void respond(MemberId to, boolean removed) {
        if (to.equals(mState.mSelf)) {
            decided(removed ? LeaveOutcome.REMOVED : LeaveOutcome.REMAINS);
        } else {
            mState.mOutbox.send(to, new LeaveResponse(removed));
        }
    }

    private void decided(LeaveOutcome outcome) {
        mDecided = true;
        mState.mOutbox.add(new AgreementEffect.LeaveDecided(outcome));
    }
}
