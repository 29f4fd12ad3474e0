package org.skylarkbend.agreement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;

/** Grants votes and starts elections. */
final class Elections {
    private final MemberState mState;
    private final Runnable mOnElected;
    private final Set<MemberId> mGrantedBy = new HashSet<>();
    private long mLeaderlessMilliseconds;

    Elections(MemberState state, Runnable onElected) {
        mState = state;
        mOnElected = onElected;
    }

    /** Starts an election with a pre-vote if the election timeout has elapsed. */
    void tick(long nowMilliseconds) {
        if (nowMilliseconds < mState.mElectionDeadlineMilliseconds) {
            return;
        }
        mState.resetPreVoteTimeout(nowMilliseconds);
        mState.mLeader = Optional.empty();
        mState.mRole = MemberRole.FOLLOWER;
        if (mState.isVoter()) {
            startPreVote(nowMilliseconds);
        }
    }

    void receive(MemberId from, PreVoteRequest request, long nowMilliseconds) {
        boolean granted =
                request.term() > mState.mTerm
                        && !mayHaveLeader(nowMilliseconds)
                        && isUpToDate(request.lastIndex(), request.lastTerm());
        long responseTerm = granted ? request.term() : mState.mTerm;
        mState.mOutbox.send(from, new PreVoteResponse(responseTerm, granted));
    }

    void receive(MemberId from, PreVoteResponse response, long nowMilliseconds) {
        if (!response.granted() && response.term() > mState.mTerm && !mState.isLeader()) {
            mState.setTermAndVote(response.term(), Optional.empty());
            mState.mRole = MemberRole.FOLLOWER;
            return;
        }
        boolean counts =
                mState.mRole == MemberRole.PRE_CANDIDATE
                        && response.granted()
                        && response.term() == mState.mTerm + 1;
        if (counts && mGrantedBy.add(from) && isWon()) {
            startVote(nowMilliseconds);
        }
    }

    void receive(MemberId from, VoteRequest request, long nowMilliseconds) {
        if (mayHaveLeader(nowMilliseconds)) {
            return;
        }
        if (request.term() > mState.mTerm) {
            mState.setTermAndVote(request.term(), Optional.empty());
            mState.mRole = MemberRole.FOLLOWER;
            mState.mLeader = Optional.empty();
        }
        boolean granted =
                request.term() == mState.mTerm
                        && mState.mVote.map(from::equals).orElse(true)
                        && isUpToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            mState.setTermAndVote(mState.mTerm, Optional.of(from));
            mState.resetElectionTimeout(nowMilliseconds);
        }
        mState.mOutbox.send(
                from,
                new VoteResponse(
                        mState.mTerm, granted, mState.leaderlessMilliseconds(nowMilliseconds)));
    }

    void receive(MemberId from, VoteResponse response) {
        boolean counts =
                mState.mRole == MemberRole.CANDIDATE
                        && response.granted()
                        && response.term() == mState.mTerm;
        if (counts && mGrantedBy.add(from)) {
            mLeaderlessMilliseconds =
                    Math.min(mLeaderlessMilliseconds, response.leaderlessMilliseconds());
            if (isWon()) {
                mOnElected.run();
            }
        }
    }

    /**
     * Returns the time before the election was won during which no other member can have led with
     * the consent of a quorum: each quorum shares a voter with the one that granted its votes.
     */
    long leaderlessMilliseconds() {
        return mLeaderlessMilliseconds;
    }

    /** Counts the candidate's own vote once it is on disk. */
    void ownVotePersisted() {
        if (mState.mRole == MemberRole.CANDIDATE && mGrantedBy.add(mState.mSelf) && isWon()) {
            mOnElected.run();
        }
    }

    private void startPreVote(long nowMilliseconds) {
        mState.mRole = MemberRole.PRE_CANDIDATE;
        mGrantedBy.clear();
        mGrantedBy.add(mState.mSelf);
        PreVoteRequest request =
                new PreVoteRequest(
                        mState.mTerm + 1, mState.mLog.lastIndex(), mState.mLog.lastTerm());
        sendToOthers(request);
        if (isWon()) {
            startVote(nowMilliseconds);
        }
    }

    private void startVote(long nowMilliseconds) {
        mState.resetElectionTimeout(nowMilliseconds);
        mLeaderlessMilliseconds = mState.leaderlessMilliseconds(nowMilliseconds);
        mState.startCandidacy();
        mGrantedBy.clear();
        sendToOthers(
                new VoteRequest(mState.mTerm, mState.mLog.lastIndex(), mState.mLog.lastTerm()));
    }

    private void sendToOthers(AgreementMessage message) {
        for (MemberId voter : mState.mLog.membership().voters()) {
            if (!voter.equals(mState.mSelf)) {
                mState.mOutbox.send(voter, message);
            }
        }
    }

    /** Returns whether a leader may hold a lease that relies on this member. */
    private boolean mayHaveLeader(long nowMilliseconds) {
        return mState.isLeader() || mState.heardFromLeaderRecently(nowMilliseconds);
    }

    private boolean isUpToDate(long lastIndex, long lastTerm) {
        long ownTerm = mState.mLog.lastTerm();
        return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= mState.mLog.lastIndex();
    }

    private boolean isWon() {
        return mState.mLog.membership().isQuorum(mGrantedBy::contains);
    }
}
