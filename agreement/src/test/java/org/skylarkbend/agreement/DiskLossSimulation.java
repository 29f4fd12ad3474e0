package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;

/**
 * Members that acknowledge entries while as many disks are lost as their number tolerates, some
 * just before an acknowledgement and the others just after it, when all other members lose power.
 */
final class DiskLossSimulation {
    private static final long REMOVE_UNRESPONSIVE_MILLISECONDS = 700;
    private static final long MAX_APART_MILLISECONDS = 1_500;
    private static final long MAX_DOWN_MILLISECONDS = 400;
    private static final long RECOVERY_MILLISECONDS = 20_000;
    private static final long CATCH_UP_MILLISECONDS = 3_000;

    private final SplittableRandom mRandom;
    private final SafetyChecks mChecks = new SafetyChecks();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMilliseconds)
                            .thenComparingLong(Event::sequence));
    private final Map<ObjectName, DiskLossMember> mMembers = new TreeMap<>();
    private final Map<LogEntry, Set<MemberId>> mSyncedBy = new HashMap<>();
    private final AgreementOptions mOptions;
    private Set<ObjectName> mLosingDiskNext = Set.of();
    private boolean mLosesPowerNext;
    private boolean mWaitsForChange;
    private long mNowMilliseconds;
    private long mSequence;
    private long mLastMemberNumber;
    private long mLastProposal;
    private int mChangesInFlight;

    /** An action scheduled for a point in simulated time. */
    private record Event(long atMilliseconds, long sequence, Runnable work) {}

    DiskLossSimulation(long seed) {
        mRandom = new SplittableRandom(seed);
        mOptions =
                new AgreementOptions(
                        50, 150, 300, mRandom.nextBoolean(), 10, 8, 10_000, 3, 1_000, 100_000, 64);
        int count = mRandom.nextBoolean() ? 3 : 5;
        IntStream.rangeClosed(1, count)
                .mapToObj(i -> ObjectName.of("vm-" + i))
                .forEach(vm -> mMembers.put(vm, null));
        mMembers.replaceAll((vm, none) -> new DiskLossMember(this, vm, newDisk(vm, true)));
    }

    /**
     * Runs some rounds of losses and returns the number of those in which a change of the members
     * was in flight at the acknowledgement.
     */
    int run(int rounds) {
        mMembers.values().forEach(DiskLossMember::start);
        after(1, this::propose);
        requireRecovery();
        for (int round = 0; round < rounds; round++) {
            loseAsManyDisksAsAreTolerated();
            requireRecovery();
        }
        return mChangesInFlight;
    }

    private void loseAsManyDisksAsAreTolerated() {
        List<DiskLossMember> members = new ArrayList<>(mMembers.values());
        List<DiskLossMember> losing = new ArrayList<>();
        for (int i = 0; i < (mMembers.size() - 1) / 2; i++) {
            losing.add(members.remove(mRandom.nextInt(members.size())));
        }
        int before = mRandom.nextInt(losing.size() + 1);
        losing.subList(0, before).forEach(this::loseDisk);
        runUntil(mNowMilliseconds + mRandom.nextLong(MAX_APART_MILLISECONDS));
        boolean losesSameAgain = mRandom.nextBoolean();
        mLosingDiskNext =
                losing.subList(losesSameAgain ? 0 : before, losing.size()).stream()
                        .map(DiskLossMember::vm)
                        .collect(Collectors.toSet());
        mLosesPowerNext = true;
        mWaitsForChange = mRandom.nextBoolean();
        runUntil(mNowMilliseconds + MAX_APART_MILLISECONDS);
        mLosesPowerNext = false;
    }

    private void loseDisk(DiskLossMember member) {
        member.crash();
        member.replaceDisk(newDisk(member.vm(), false));
        startLater(member);
    }

    private void startLater(DiskLossMember member) {
        after(mRandom.nextLong(1, MAX_DOWN_MILLISECONDS), member::startIfDown);
    }

    /** Checks that a new proposal is acknowledged and that all members have joined again. */
    private void requireRecovery() {
        long acknowledgedIndex = mChecks.acknowledgedIndex();
        long limitMilliseconds = mNowMilliseconds + RECOVERY_MILLISECONDS;
        while (!isRecovered(acknowledgedIndex) && mNowMilliseconds < limitMilliseconds) {
            runUntil(mNowMilliseconds + mOptions.heartbeatMilliseconds());
        }
        SafetyChecks.check(
                isRecovered(acknowledgedIndex),
                "members did not recover after " + acknowledgedIndex + ": " + mMembers.values());
        runUntil(mNowMilliseconds + mRandom.nextLong(CATCH_UP_MILLISECONDS));
        mMembers.values().forEach(DiskLossMember::startIfDown);
    }

    private boolean isRecovered(long acknowledgedIndex) {
        Set<MemberId> present =
                mMembers.values().stream()
                        .map(DiskLossMember::identity)
                        .collect(Collectors.toSet());
        return mChecks.acknowledgedIndex() > acknowledgedIndex
                && present.equals(Set.copyOf(mChecks.committedMembership().voters()))
                && mMembers.values().stream()
                        .allMatch(member -> member.appliedIndex() > acknowledgedIndex);
    }

    /** Records that an entry is on the disk of a member. */
    void synced(MemberId member, List<LogEntry> entries) {
        entries.forEach(
                entry -> mSyncedBy.computeIfAbsent(entry, key -> new HashSet<>()).add(member));
    }

    /** Checks on how many disks an entry has been, and takes the disks and the power away. */
    void acknowledged(LogEntry entry, Membership voters, boolean isChanging) {
        Set<MemberId> syncedBy = mSyncedBy.getOrDefault(entry, Set.of());
        SafetyChecks.check(
                voters.isQuorum(syncedBy::contains),
                "entry "
                        + entry.index()
                        + " was acknowledged on "
                        + syncedBy
                        + " only, of "
                        + voters.voters());
        mChecks.acknowledged(entry.index());
        if (mLosesPowerNext && (isChanging || !mWaitsForChange)) {
            mLosesPowerNext = false;
            mChangesInFlight += isChanging ? 1 : 0;
            after(0, this::loseDisksAndPower);
        }
    }

    private void loseDisksAndPower() {
        for (DiskLossMember member : mMembers.values()) {
            if (mLosingDiskNext.contains(member.vm())) {
                loseDisk(member);
            } else {
                member.crash();
                startLater(member);
            }
        }
    }

    private void propose() {
        mLastProposal++;
        for (DiskLossMember member : mMembers.values()) {
            member.proposeIfLeader(
                    mLastProposal,
                    new EntryContent.Command(CommandListMachine.bytes("c" + mLastProposal)));
        }
        after(mRandom.nextLong(1, 40), this::propose);
    }

    void send(Envelope envelope) {
        Set<ObjectName> receivers =
                envelope.to().map(MemberId::vm).map(Set::of).orElse(mMembers.keySet());
        for (ObjectName vm : receivers) {
            if (!vm.equals(envelope.from().vm())) {
                after(mRandom.nextLong(1, 10), () -> mMembers.get(vm).receive(envelope));
            }
        }
    }

    void after(long milliseconds, Runnable work) {
        mSequence++;
        mEvents.add(new Event(mNowMilliseconds + milliseconds, mSequence, work));
    }

    private void runUntil(long atMilliseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= atMilliseconds) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.work().run();
        }
        mNowMilliseconds = atMilliseconds;
    }

    private MemberDisk newDisk(ObjectName vm, boolean isOfFirstStart) {
        mLastMemberNumber++;
        return new SimulatedDisk(new MemberId(vm, mLastMemberNumber), isOfFirstStart);
    }

    MembershipRules rules() {
        return MembershipRules.open(
                mMembers.keySet(), (mMembers.size() - 1) / 2, REMOVE_UNRESPONSIVE_MILLISECONDS);
    }

    AgreementOptions options() {
        return mOptions;
    }

    SafetyChecks checks() {
        return mChecks;
    }

    SplittableRandom random() {
        return mRandom;
    }

    long nowMilliseconds() {
        return mNowMilliseconds;
    }

    long syncMilliseconds() {
        return mRandom.nextInt(10) == 0 ? 40 : mRandom.nextLong(4);
    }
}
