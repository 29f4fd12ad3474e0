package org.skylarkbend.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkbend.agreement.EntryContent.MembershipChange;

/**
 * Adds and removes members on the leader, one change at a time.
 *
 * <p>A new member is a learner until its log is up to date, and only then becomes a voter. If it
 * replaces a member on the same VM, that member is removed first. The old member is already down,
 * so its removal does not cost the quorum, and every quorum has all committed entries at all times.
 */
final class MembershipChanges {
    private final MemberState mState;
    private final LeaderReplication mLeaderReplication;
    private final MembershipRules mRules;
    private final Map<MemberId, Long> mLearnersHeardAtMilliseconds = new TreeMap<>();

    MembershipChanges(MemberState state, LeaderReplication replication, MembershipRules rules) {
        mState = state;
        mLeaderReplication = replication;
        mRules = rules;
    }

    /** Starts a term as leader without learners. */
    void startTerm() {
        mLearnersHeardAtMilliseconds.clear();
    }

    /** Starts replicating to a member that may join and whose VM has no live voter. */
    void receiveAnnouncement(MemberId learner, long nowMilliseconds) {
        boolean isCandidate =
                mRules.mayJoin().test(learner.vm())
                        && !mState.mLog.membership().contains(learner)
                        && memberOnSameVm(learner)
                                .filter(previous -> isLive(previous, nowMilliseconds))
                                .isEmpty();
        if (isCandidate) {
            mLearnersHeardAtMilliseconds.put(learner, nowMilliseconds);
            mLeaderReplication.track(learner, nowMilliseconds);
        }
    }

    /** Returns the next membership change, if one may be appended now. */
    Optional<MembershipChange> nextChange(long nowMilliseconds) {
        removeStaleLearners(nowMilliseconds);
        if (!canChange()) {
            return Optional.empty();
        }
        Optional<Membership> withoutUnresponsive = withoutUnresponsive(nowMilliseconds);
        if (withoutUnresponsive.isPresent()) {
            return withoutUnresponsive.map(MembershipChange::new);
        }
        return mLearnersHeardAtMilliseconds.keySet().stream()
                .filter(learner -> isUpToDate(learner, nowMilliseconds))
                .findFirst()
                .flatMap(learner -> changeFor(learner, nowMilliseconds))
                .map(MembershipChange::new);
    }

    /**
     * Returns the membership without an unresponsive voter, if the number of voters is even. The
     * quorum is then smaller by one, so the log tolerates as many failures as before.
     */
    private Optional<Membership> withoutUnresponsive(long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        if (mRules.removeUnresponsiveAfterMilliseconds().isEmpty()
                || membership.voters().size() % 2 != 0) {
            return Optional.empty();
        }
        long timeoutMilliseconds = mRules.removeUnresponsiveAfterMilliseconds().getAsLong();
        return membership.voters().stream()
                .filter(
                        voter ->
                                !mLeaderReplication.isLive(
                                        voter, nowMilliseconds, timeoutMilliseconds))
                .findFirst()
                .map(membership::without);
    }

    private Optional<Membership> changeFor(MemberId learner, long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        Optional<MemberId> previous = memberOnSameVm(learner);
        if (previous.isPresent()) {
            return isLive(previous.get(), nowMilliseconds)
                    ? Optional.empty()
                    : Optional.of(membership.without(previous.get()));
        }
        return membership.voters().size() < Membership.MAX_VOTERS
                ? Optional.of(membership.with(learner))
                : Optional.empty();
    }

    /**
     * Returns whether the previous change and an entry of the current term are committed, as a new
     * change requires.
     */
    private boolean canChange() {
        boolean hasCommittedInTerm =
                mState.mLog
                        .termAt(mState.mCommitIndex)
                        .filter(term -> term == mState.mTerm)
                        .isPresent();
        return hasCommittedInTerm && mState.mLog.membershipIndex() <= mState.mCommitIndex;
    }

    private boolean isUpToDate(MemberId learner, long nowMilliseconds) {
        MemberProgress progress = mLeaderReplication.progress().get(learner);
        return progress != null
                && isLive(learner, nowMilliseconds)
                && progress.mMatchIndex >= mState.mCommitIndex;
    }

    private Optional<MemberId> memberOnSameVm(MemberId learner) {
        return mState.mLog.membership().onVm(learner.vm());
    }

    private boolean isLive(MemberId member, long nowMilliseconds) {
        return mLeaderReplication.isLive(
                member, nowMilliseconds, mState.mOptions.electionMaxMilliseconds());
    }

    private void removeStaleLearners(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - mState.mOptions.electionMaxMilliseconds();
        mLearnersHeardAtMilliseconds
                .keySet()
                .removeIf(learner -> mState.mLog.membership().contains(learner));
        mLearnersHeardAtMilliseconds.values().removeIf(heard -> heard < oldestMilliseconds);
        for (MemberId member : List.copyOf(mLeaderReplication.progress().keySet())) {
            boolean isKnown =
                    mState.mLog.membership().contains(member)
                            || mLearnersHeardAtMilliseconds.containsKey(member);
            if (!isKnown) {
                mLeaderReplication.untrack(member);
            }
        }
    }
}
