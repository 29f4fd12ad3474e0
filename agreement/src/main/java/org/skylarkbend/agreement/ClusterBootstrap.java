package org.skylarkbend.agreement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;

/**
 * Decides who the first members are.
 *
 * <p>Only the VM whose name comes first in the settings may begin a log, and only when every VM of
 * the settings has just said to this very member that it is blank. One VM that holds anything is
 * enough to prevent it. What was said to a former member on the founding VM does not count, so that
 * a disk lost while the log began never begins a second log beside the first.
 */
final class ClusterBootstrap {
    private final MemberState mState;
    private final SortedSet<ObjectName> mInitialVms;
    private final Map<ObjectName, UninitializedMember> mUninitializedByVm = new TreeMap<>();
    private Optional<MemberId> mKnownBootstrapMember = Optional.empty();
    private long mLastAnnouncementMilliseconds = Long.MIN_VALUE / 2;

    /** A member that said it is blank. */
    private record UninitializedMember(MemberId member, long heardAtMilliseconds) {}

    ClusterBootstrap(MemberState state, Set<ObjectName> initialVms) {
        mState = state;
        mInitialVms = new TreeSet<>(initialVms);
    }

    /**
     * Says to all that this member exists, while it counts in no quorum that it knows of or hears
     * no leader: the entry that took it in may be known to it alone.
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

    /** The first membership, if this member may decide it now. */
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
