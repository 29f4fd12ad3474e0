package org.skylarkbend.agreement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;

/**
 * Determines the initial membership of a new log.
 *
 * <p>Only the bootstrap VM, which is the first of the initial VMs by name, may create a log. It
 * does so only after every initial VM has recently announced to this same member that it is
 * uninitialized; a single VM with state prevents it. Announcements made to an earlier member on the
 * bootstrap VM do not count. Otherwise, losing the disk of the bootstrap VM during bootstrap could
 * create a second log beside the first.
 *
 * <p>A majority of the initial VMs must have the disks that they had at the first start of the
 * system. If there had been a log, a majority would have stored its first entry, so one of these
 * disks would have it. The others may have lost their disks, or may have been started again before
 * they had written anything. A log that such a bootstrap member creates begins in a term of its
 * own, so that entries of an earlier member, which may still be on their way, conflict with it.
 */
final class ClusterBootstrap {
    private static final int OWN_TERM_MASK = 0xfff_ffff;

    private final MemberState mState;
    private final SortedSet<ObjectName> mInitialVms;
    private final Map<ObjectName, UninitializedMember> mUninitializedByVm = new TreeMap<>();
    private Optional<MemberId> mKnownBootstrapMember = Optional.empty();
    private long mLastAnnouncementMilliseconds = Long.MIN_VALUE / 2;

    /** A member that announced that it is uninitialized. */
    private record UninitializedMember(
            MemberId member, boolean isOfFirstStart, long heardAtMilliseconds) {}

    ClusterBootstrap(MemberState state, Set<ObjectName> initialVms) {
        mState = state;
        mInitialVms = new TreeSet<>(initialVms);
    }

    /**
     * Announces this member periodically while it is not a voter or knows no leader, unless it is
     * about to end. A voter without a leader announces itself too, because it may be the only
     * member with the entry that added it.
     */
    void announceIfDue(long nowMilliseconds) {
        boolean isDue =
                nowMilliseconds - mLastAnnouncementMilliseconds
                        >= mState.mOptions.electionMinMilliseconds() / 2;
        if (isDue && !mState.mIsLeaving && (!mState.isVoter() || mState.mLeader.isEmpty())) {
            mLastAnnouncementMilliseconds = nowMilliseconds;
            mState.mOutbox.add(
                    new AgreementEffect.Broadcast(
                            new AgreementMessage.Announcement(
                                    mState.isUninitialized(),
                                    mState.mIsOfFirstStart,
                                    mKnownBootstrapMember)));
        }
    }

    void receiveAnnouncement(
            MemberId from, AgreementMessage.Announcement announcement, long nowMilliseconds) {
        if (isOnBootstrapVm(from)) {
            mKnownBootstrapMember = Optional.of(from);
        }
        if (announcement.uninitialized()
                && announcement.knownBootstrapMember().filter(mState.mSelf::equals).isPresent()) {
            mUninitializedByVm.put(
                    from.vm(),
                    new UninitializedMember(from, announcement.ofFirstStart(), nowMilliseconds));
        } else {
            mUninitializedByVm.remove(from.vm());
        }
    }

    /** Returns the initial membership if this member may create the log now. */
    Optional<Membership> initialMembership(long nowMilliseconds) {
        if (!mState.isUninitialized() || !isOnBootstrapVm(mState.mSelf)) {
            return Optional.empty();
        }
        mUninitializedByVm.put(
                mState.mSelf.vm(),
                new UninitializedMember(mState.mSelf, mState.mIsOfFirstStart, nowMilliseconds));
        mUninitializedByVm
                .values()
                .removeIf(uninitialized -> isExpired(uninitialized, nowMilliseconds));
        if (!mUninitializedByVm.keySet().containsAll(mInitialVms) || !isFirstStart()) {
            return Optional.empty();
        }
        return Optional.of(
                new Membership(
                        mInitialVms.stream()
                                .map(vm -> mUninitializedByVm.get(vm).member())
                                .toList()));
    }

    /** Returns the term of the first entry of a log that this member creates. */
    long initialTerm() {
        int ownTerm = Long.hashCode(mState.mSelf.number()) & OWN_TERM_MASK;
        return Math.max(mState.mTerm + 1, mState.mIsOfFirstStart ? 1 : 2 + ownTerm);
    }

    /**
     * Returns whether a message comes from an earlier member on the bootstrap VM, while this member
     * waits for the log of a later one.
     */
    boolean isSuperseded(MemberId from) {
        return mState.isUninitialized()
                && isOnBootstrapVm(from)
                && mKnownBootstrapMember.filter(known -> !known.equals(from)).isPresent();
    }

    private boolean isFirstStart() {
        long disksOfFirstStart =
                mInitialVms.stream()
                        .filter(vm -> mUninitializedByVm.get(vm).isOfFirstStart())
                        .count();
        return 2 * disksOfFirstStart > mInitialVms.size();
    }

    private boolean isOnBootstrapVm(MemberId member) {
        return !mInitialVms.isEmpty() && mInitialVms.first().equals(member.vm());
    }

    private boolean isExpired(UninitializedMember uninitialized, long nowMilliseconds) {
        return nowMilliseconds - uninitialized.heardAtMilliseconds()
                > mState.mOptions.electionMinMilliseconds();
    }
}
