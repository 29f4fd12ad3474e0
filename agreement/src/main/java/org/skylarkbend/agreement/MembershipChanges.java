package org.skylarkbend.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.skylarkbend.agreement.ChangeReason.Joined;
import org.skylarkbend.agreement.ChangeReason.Leaving;
import org.skylarkbend.agreement.ChangeReason.Replaced;
import org.skylarkbend.agreement.ChangeReason.Silent;

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
    private final Map<MemberId, Long> mLeavingHeardAtMilliseconds = new TreeMap<>();

    MembershipChanges(MemberState state, LeaderReplication replication, MembershipRules rules) {
        mState = state;
        mLeaderReplication = replication;
        mRules = rules;
    }

    /** Starts a term as leader without learners. */
    void startTerm() {
        mLearnersHeardAtMilliseconds.clear();
        mLeavingHeardAtMilliseconds.clear();
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

    /**
     * Returns the next membership change, if one may be appended now. A quorum of the members that
     * it leaves must respond, since it takes effect before it is committed.
     */
    Optional<MemberChange> nextChange(long nowMilliseconds) {
        removeStaleLearners(nowMilliseconds);
        if (!canChange()) {
            return Optional.empty();
        }
        List<MemberId> ready = readyLearners(nowMilliseconds);
        return withoutAbsent(ready, nowMilliseconds)
                .or(() -> withNewMember(ready, nowMilliseconds))
                .or(() -> withoutReplaced(ready, nowMilliseconds))
                .filter(
                        change ->
                                change.next().isQuorum(voter -> responds(voter, nowMilliseconds)));
    }

    /** Returns the report of a change. */
    AgreementEffect report(MemberChange change) {
        return new AgreementEffect.MemberChangeDecided(
                change.member(),
                change.next().contains(change.member()),
                change.reason(),
                change.next().voters().size(),
                mRules.intendedVoters(change.next().voters().size()));
    }

    /**
     * Records that a voter is about to end. Until it is known to be silent or back, it is the first
     * to lose its place to a new member.
     */
    void receiveLeave(MemberId member, long nowMilliseconds) {
        mLeavingHeardAtMilliseconds.put(member, nowMilliseconds);
    }

    /**
     * Returns whether a voter that is gone may be removed, because more remain than are intended,
     * or because one is missing afterwards for which a new member is ready. Neither raises the
     * quorum, and each commit is still on one disk more than may be lost.
     */
    boolean mayRemove(long nowMilliseconds) {
        return mayRemove(readyLearners(nowMilliseconds));
    }

    private boolean mayRemove(List<MemberId> ready) {
        boolean canTakePlace =
                ready.stream().anyMatch(learner -> memberOnSameVm(learner).isEmpty());
        int voters = mState.mLog.membership().voters().size();
        int leastVoters = mRules.intendedVoters(voters) + (canTakePlace ? 0 : 1);
        return mRules.removeUnresponsiveAfterMilliseconds().isPresent() && voters >= leastVoters;
    }

    /**
     * Returns the membership without an unresponsive voter, or else without one that is about to
     * end. A removed member that had only paused becomes a learner and then a voter again.
     */
    private Optional<MemberChange> withoutAbsent(List<MemberId> ready, long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        OptionalLong timeout = removalTimeoutMilliseconds(ready);
        if (timeout.isEmpty()) {
            return Optional.empty();
        }
        long timeoutMilliseconds = timeout.getAsLong();
        return membership.voters().stream()
                .filter(
                        voter ->
                                !mLeaderReplication.isLive(
                                        voter, nowMilliseconds, timeoutMilliseconds))
                .findFirst()
                .map(
                        voter ->
                                removal(
                                        voter,
                                        new Silent(
                                                mLeaderReplication.silentMilliseconds(
                                                        voter, nowMilliseconds),
                                                timeoutMilliseconds)))
                .or(
                        () ->
                                leavingVoter(nowMilliseconds)
                                        .map(voter -> removal(voter, new Leaving())));
    }

    /**
     * Returns the silence after which a voter is removed, if one may be removed. A group without a
     * known number of tolerated losses also removes voters after a longer silence.
     */
    private OptionalLong removalTimeoutMilliseconds(List<MemberId> ready) {
        if (mayRemove(ready)) {
            return mRules.removeUnresponsiveAfterMilliseconds();
        }
        return mRules.removeGoneAfterMilliseconds(mState.mLog.membership().voters().size());
    }

    private MemberChange removal(MemberId member, ChangeReason reason) {
        return new MemberChange(member, mState.mLog.membership().without(member), reason);
    }

    /**
     * Returns a voter that is about to end. One that still responds is kept while others do not,
     * since they may be gone and are to be removed first.
     */
    private Optional<MemberId> leavingVoter(long nowMilliseconds) {
        List<MemberId> voters = mState.mLog.membership().voters();
        return voters.stream()
                .filter(voter -> isLeaving(voter, nowMilliseconds))
                .filter(
                        leaving ->
                                voters.stream()
                                        .filter(voter -> !voter.equals(leaving))
                                        .allMatch(voter -> responds(voter, nowMilliseconds)))
                .findFirst();
    }

    private boolean isLeaving(MemberId member, long nowMilliseconds) {
        Long heardAtMilliseconds = mLeavingHeardAtMilliseconds.get(member);
        return heardAtMilliseconds != null
                && nowMilliseconds - heardAtMilliseconds
                        <= mState.mOptions.electionMaxMilliseconds();
    }

    /**
     * Returns the membership with a new member on a VM without a voter. The quorum is raised above
     * the one of the intended members only while all voters respond.
     */
    private Optional<MemberChange> withNewMember(List<MemberId> ready, long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        if (membership.voters().size() >= mRules.maxVoters()) {
            return Optional.empty();
        }
        boolean allRespond =
                membership.voters().stream().allMatch(voter -> responds(voter, nowMilliseconds));
        return ready.stream()
                .filter(learner -> memberOnSameVm(learner).isEmpty())
                .findFirst()
                .map(learner -> new MemberChange(learner, membership.with(learner), new Joined()))
                .filter(
                        change ->
                                allRespond
                                        || change.next().quorum() == membership.quorum()
                                        || change.next().voters().size()
                                                <= mRules.intendedVoters(
                                                        membership.voters().size()));
    }

    /** Returns the membership without a voter that a new member on the same VM replaces. */
    private Optional<MemberChange> withoutReplaced(List<MemberId> ready, long nowMilliseconds) {
        return ready.stream()
                .filter(
                        learner ->
                                memberOnSameVm(learner)
                                        .filter(previous -> !isLive(previous, nowMilliseconds))
                                        .isPresent())
                .findFirst()
                .map(
                        learner ->
                                removal(
                                        memberOnSameVm(learner).orElseThrow(),
                                        new Replaced(learner)));
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
        return hasCommittedInTerm && isChangeCommitted();
    }

    private boolean isChangeCommitted() {
        return mState.mLog.membershipIndex() <= mState.mCommitIndex;
    }

    private List<MemberId> readyLearners(long nowMilliseconds) {
        return mLearnersHeardAtMilliseconds.keySet().stream()
                .filter(learner -> isUpToDate(learner, nowMilliseconds))
                .toList();
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

    private boolean responds(MemberId member, long nowMilliseconds) {
        return mLeaderReplication.responds(member, nowMilliseconds);
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
        mLeavingHeardAtMilliseconds.values().removeIf(heard -> heard < oldestMilliseconds);
        if (isChangeCommitted()) {
            stopServingUnknownMembers();
        }
    }

    /** A removal that cannot be saved is undone, so that its member has to be served until then. */
    private void stopServingUnknownMembers() {
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
