package org.skylarkbend.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkbend.agreement.EntryContent.MembershipChange;

/**
 * Lets a leader take members in, one change at a time.
 *
 * <p>A newcomer is brought up to date before it counts. Where it takes the place of a member on the
 * same VM, that member leaves first: until then it counts as one that is down, so that its leaving
 * costs no quorum, and at no time does a quorum exist that lacks a committed entry.
 */
final class MembershipChanges {
    private final MemberState mState;
    private final Replication mReplication;
    private final MemberRules mRules;
    private final Map<MemberId, Long> mNewcomersHeardAtMilliseconds = new TreeMap<>();

    MembershipChanges(MemberState state, Replication replication, MemberRules rules) {
        mState = state;
        mReplication = replication;
        mRules = rules;
    }

    /** Forgets all newcomers. */
    void begin() {
        mNewcomersHeardAtMilliseconds.clear();
    }

    /** Notes a member that counts in no quorum. */
    void announced(MemberId newcomer, long nowMilliseconds) {
        boolean isCandidate =
                mRules.admits().test(newcomer.vm())
                        && !mState.mLog.membership().contains(newcomer)
                        && formerMember(newcomer)
                                .filter(former -> isLive(former, nowMilliseconds))
                                .isEmpty();
        if (isCandidate) {
            mNewcomersHeardAtMilliseconds.put(newcomer, nowMilliseconds);
            mReplication.watch(newcomer, nowMilliseconds);
        }
    }

    /** The next change of membership that may be appended now. */
    Optional<MembershipChange> next(long nowMilliseconds) {
        forgetSilent(nowMilliseconds);
        if (!mayChange()) {
            return Optional.empty();
        }
        Optional<Membership> withoutSilent = withoutSilent(nowMilliseconds);
        if (withoutSilent.isPresent()) {
            return withoutSilent.map(MembershipChange::new);
        }
        return mNewcomersHeardAtMilliseconds.keySet().stream()
                .filter(newcomer -> isUpToDate(newcomer, nowMilliseconds))
                .findFirst()
                .flatMap(newcomer -> changeFor(newcomer, nowMilliseconds))
                .map(MembershipChange::new);
    }

    /**
     * The members without one that has been silent for too long, where their number is even: one
     * member less then needs a smaller quorum, so that as many of the others may fail as before.
     */
    private Optional<Membership> withoutSilent(long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        if (mRules.dropSilentAfterMilliseconds().isEmpty() || membership.voters().size() % 2 != 0) {
            return Optional.empty();
        }
        long silenceMilliseconds = mRules.dropSilentAfterMilliseconds().getAsLong();
        return membership.voters().stream()
                .filter(voter -> !mReplication.isLive(voter, nowMilliseconds, silenceMilliseconds))
                .findFirst()
                .map(membership::without);
    }

    private Optional<Membership> changeFor(MemberId newcomer, long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        Optional<MemberId> former = formerMember(newcomer);
        if (former.isPresent()) {
            return isLive(former.get(), nowMilliseconds)
                    ? Optional.empty()
                    : Optional.of(membership.without(former.get()));
        }
        return membership.voters().size() < Membership.MAX_VOTERS
                ? Optional.of(membership.with(newcomer))
                : Optional.empty();
    }

    /** A change may begin when the one before and an entry of this term are committed. */
    private boolean mayChange() {
        boolean hasCommittedInTerm =
                mState.mLog
                        .termAt(mState.mCommitIndex)
                        .filter(term -> term == mState.mTerm)
                        .isPresent();
        return hasCommittedInTerm && mState.mLog.membershipIndex() <= mState.mCommitIndex;
    }

    private boolean isUpToDate(MemberId newcomer, long nowMilliseconds) {
        MemberProgress progress = mReplication.progress().get(newcomer);
        return progress != null
                && isLive(newcomer, nowMilliseconds)
                && progress.mMatchIndex >= mState.mCommitIndex;
    }

    private Optional<MemberId> formerMember(MemberId newcomer) {
        return mState.mLog.membership().onVm(newcomer.vm());
    }

    private boolean isLive(MemberId member, long nowMilliseconds) {
        return mReplication.isLive(
                member, nowMilliseconds, mState.mOptions.electionMaxMilliseconds());
    }

    private void forgetSilent(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - mState.mOptions.electionMaxMilliseconds();
        mNewcomersHeardAtMilliseconds
                .keySet()
                .removeIf(newcomer -> mState.mLog.membership().contains(newcomer));
        mNewcomersHeardAtMilliseconds.values().removeIf(heard -> heard < oldestMilliseconds);
        for (MemberId member : List.copyOf(mReplication.progress().keySet())) {
            boolean isKnown =
                    mState.mLog.membership().contains(member)
                            || mNewcomersHeardAtMilliseconds.containsKey(member);
            if (!isKnown) {
                mReplication.forget(member);
            }
        }
    }
}
