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
 */
final class ClusterBootstrap {
    private final MemberState mState;
    private final SortedSet<ObjectName> mInitialVms;
    private final Map<ObjectName, UninitializedMember> mUninitializedByVm = new TreeMap<>();
    private Optional<MemberId> mKnownBootstrapMember = Optional.empty();
    private long mLastAnnouncementMilliseconds = Long.MIN_VALUE / 2;

    /** A member that announced that it is uninitialized. */
    private record UninitializedMember(MemberId member, long heardAtMilliseconds) {}

    ClusterBootstrap(MemberState state, Set<ObjectName> initialVms) {
        mState = state;
        mInitialVms = new TreeSet<>(initialVms);
    }

    /**
     * Announces this member periodically while it is not a voter or knows no leader. A voter
     * without a leader announces itself too, because it may be the only member with the entry that
     * added it.
     */
    void announceIfDue(long nowMilliseconds) {
        boolean isDue =
                nowMilliseconds - mLastAnnouncementMilliseconds
                        >= mState.mOptions.electionMinMilliseconds() / 2;
        if (isDue && (!mState.isVoter() || mState.mLeader.isEmpty())) {
            mLastAnnouncementMilliseconds = nowMilliseconds;
            mState.mOutbox.add(
                    new AgreementEffect.Broadcast(
                            new AgreementMessage.Announcement(
                                    mState.isUninitialized(), mKnownBootstrapMember)));
        }
    }

    void receiveAnnouncement(
            MemberId from, AgreementMessage.Announcement announcement, long nowMilliseconds) {
        if (isOnBootstrapVm(from)) {
            mKnownBootstrapMember = Optional.of(from);
        }
        if (announcement.uninitialized()
                && announcement.knownBootstrapMember().filter(mState.mSelf::equals).isPresent()) {
            mUninitializedByVm.put(from.vm(), new UninitializedMember(from, nowMilliseconds));
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
                mState.mSelf.vm(), new UninitializedMember(mState.mSelf, nowMilliseconds));
        mUninitializedByVm
                .values()
                .removeIf(uninitialized -> isExpired(uninitialized, nowMilliseconds));
        if (!mUninitializedByVm.keySet().containsAll(mInitialVms)) {
            return Optional.empty();
        }
        return Optional.of(
                new Membership(
                        mInitialVms.stream()
                                .map(vm -> mUninitializedByVm.get(vm).member())
                                .toList()));
    }

    private boolean isOnBootstrapVm(MemberId member) {
        return !mInitialVms.isEmpty() && mInitialVms.first().equals(member.vm());
    }

    private boolean isExpired(UninitializedMember uninitialized, long nowMilliseconds) {
        return nowMilliseconds - uninitialized.heardAtMilliseconds()
                > mState.mOptions.electionMinMilliseconds();
    }
}
