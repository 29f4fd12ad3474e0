package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;

/**
 * Simulates several members with network, disk and clock faults drawn from a seeded random number
 * generator.
 */
final class ClusterSimulation {
    private static final long FAULTS_MILLISECONDS = 4_000;
    private static final long RECOVERY_MILLISECONDS = 30_000;
    private static final long FAULT_FREE_MILLISECONDS = 2_000;
    private static final long START_SPREAD_MILLISECONDS = 300;
    private static final int SEED_VMS = 3;
    private static final int TOLERATED_LOSSES = 2;

    /** Near the maximum election timeout, so that members that only pause are removed often. */
    private static final long REMOVE_UNRESPONSIVE_MILLISECONDS = 333;

    private final SplittableRandom mRandom;
    private final SafetyChecks mChecks = new SafetyChecks();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMilliseconds)
                            .thenComparingLong(Event::sequence));
    private final Map<ObjectName, SimulatedMember> mMembers = new TreeMap<>();
    private final Set<BlockedLink> mBlockedLinks = new HashSet<>();
    private final AgreementOptions mOptions;
    private final double mDropRate;
    private final double mDuplicateRate;
    private final long mSlowSyncMilliseconds;
    private final long mMaxFaultIntervalMilliseconds;
    private long mNowMilliseconds;
    private long mSequence;
    private long mLastMemberNumber;
    private long mLastRequestId;
    private boolean mFaultsStopped;
    private final boolean mMayJoin;
    private final MemberDisk.Factory mNewDisk;
    private final Set<ObjectName> mInitialVms;
    private final int mToleratedLosses;

    /** An action scheduled for a point in simulated time. */
    private record Event(long atMilliseconds, long sequence, Runnable work) {}

    /** A direction in which all messages are dropped. */
    private record BlockedLink(ObjectName from, ObjectName to) {}

    /** Returns a simulation with three or five members fixed by the settings. */
    static ClusterSimulation fixedMembers(long seed) {
        return new ClusterSimulation(
                seed, false, 0, random -> random.nextInt(4) == 0 ? 5 : 3, SimulatedDisk::new);
    }

    /**
     * Returns a simulation with five members that join through three seeds and remove unresponsive
     * ones.
     */
    static ClusterSimulation joiningMembers(long seed) {
        return joiningMembers(seed, 2 * TOLERATED_LOSSES + 1, TOLERATED_LOSSES);
    }

    /**
     * Returns a simulation with members that join through three seeds and remove unresponsive ones.
     *
     * @param toleratedLosses the losses that the members are told to tolerate; 0 for none
     */
    static ClusterSimulation joiningMembers(long seed, int count, int toleratedLosses) {
        return new ClusterSimulation(
                seed, true, toleratedLosses, random -> count, SimulatedDisk::new);
    }

    /** Returns a simulation with members fixed by the settings, on these disks. */
    static ClusterSimulation fixedMembers(long seed, int count, MemberDisk.Factory newDisk) {
        return new ClusterSimulation(seed, false, 0, random -> count, newDisk);
    }

    private ClusterSimulation(
            long seed,
            boolean mayJoin,
            int toleratedLosses,
            ToIntFunction<SplittableRandom> memberCount,
            MemberDisk.Factory newDisk) {
        mNewDisk = newDisk;
        mMayJoin = mayJoin;
        mToleratedLosses = toleratedLosses;
        mRandom = new SplittableRandom(seed);
        mOptions =
                new AgreementOptions(
                        50, 150, 300, mRandom.nextBoolean(), 10, 8, 10_000, 3, 1_000, 100_000, 64);
        mDropRate = mRandom.nextDouble(0, 0.2);
        mDuplicateRate = mRandom.nextDouble(0, 0.2);
        mSlowSyncMilliseconds = mRandom.nextLong(1, 60);
        mMaxFaultIntervalMilliseconds = mRandom.nextLong(100, 700);
        int count = memberCount.applyAsInt(mRandom);
        List<ObjectName> vms =
                IntStream.rangeClosed(1, count).mapToObj(i -> ObjectName.of("vm-" + i)).toList();
        mInitialVms = Set.copyOf(mayJoin ? vms.subList(0, SEED_VMS) : vms);
        vms.forEach(vm -> mMembers.put(vm, null));
        vms.forEach(vm -> mMembers.put(vm, new SimulatedMember(this, mChecks, vm)));
    }

    /** Injects faults for a while, then repairs everything and waits until all members catch up. */
    SafetyChecks run() {
        mMembers.values().forEach(SimulatedMember::start);
        after(FAULT_FREE_MILLISECONDS / 2, this::nextFault);
        after(1, this::nextRequest);
        runUntil(FAULTS_MILLISECONDS);
        mFaultsStopped = true;
        mBlockedLinks.clear();
        for (SimulatedMember member : mMembers.values()) {
            member.setDiskFull(false);
            member.resume();
            if (!member.isRunning()) {
                member.start();
            }
        }
        runUntil(mNowMilliseconds + FAULT_FREE_MILLISECONDS);
        long acknowledgedIndex = mChecks.acknowledgedIndex();
        long limitMilliseconds = mNowMilliseconds + RECOVERY_MILLISECONDS;
        while (!isRecovered(acknowledgedIndex) && mNowMilliseconds < limitMilliseconds) {
            runUntil(mNowMilliseconds + mOptions.heartbeatMilliseconds());
        }
        SafetyChecks.check(
                isRecovered(acknowledgedIndex), "members did not recover: " + mMembers.values());
        return mChecks;
    }

    /**
     * Starts the system for the first time while processes are killed, some before they have
     * written anything. Then waits until the log is in service.
     */
    SafetyChecks runFirstStart() {
        mMembers.values()
                .forEach(
                        member ->
                                after(mRandom.nextLong(START_SPREAD_MILLISECONDS), member::start));
        after(START_SPREAD_MILLISECONDS, this::nextRequest);
        int kills = mRandom.nextInt(1, 4);
        for (int i = 0; i < kills; i++) {
            boolean hasWrittenNothing = i == 0 && mRandom.nextBoolean();
            long atMilliseconds =
                    START_SPREAD_MILLISECONDS + mRandom.nextLong(hasWrittenNothing ? 50 : 1_500);
            SimulatedMember member =
                    List.copyOf(mMembers.values()).get(mRandom.nextInt(mMembers.size()));
            after(atMilliseconds, () -> killInFirstStart(member, hasWrittenNothing));
        }
        runUntil(FAULTS_MILLISECONDS);
        mFaultsStopped = true;
        long limitMilliseconds = mNowMilliseconds + RECOVERY_MILLISECONDS;
        while (mChecks.acknowledgedIndex() == 0 && mNowMilliseconds < limitMilliseconds) {
            runUntil(mNowMilliseconds + mOptions.heartbeatMilliseconds());
        }
        SafetyChecks.check(mChecks.acknowledgedIndex() > 0, "there is no log: " + mMembers);
        return mChecks;
    }

    /**
     * Fills the disk of each member for a while, one after another. Some processes end just when
     * their disk has room. Each time, unless there are only two members, and after the last one has
     * room again, a proposal has to be committed within the bound; after a restart of all members,
     * everything that was acknowledged has to be there.
     */
    SafetyChecks runWithoutRoomInTurn(
            Consumer<ObjectName> fill, Consumer<ObjectName> free, long boundMilliseconds) {
        mFaultsStopped = true;
        mMembers.values().forEach(SimulatedMember::start);
        after(1, this::nextRequest);
        runUntil(FAULT_FREE_MILLISECONDS);
        for (ObjectName vm : vms()) {
            fill.accept(vm);
            if (hasQuorumWithoutOne()) {
                requireCommit(boundMilliseconds, "while " + vm + " has no room");
            }
            runUntil(mNowMilliseconds + mRandom.nextLong(FAULT_FREE_MILLISECONDS));
            free.accept(vm);
            if (mRandom.nextBoolean()) {
                mMembers.get(vm).crash();
                mMembers.get(vm).start();
            }
            runUntil(mNowMilliseconds + mRandom.nextLong(FAULT_FREE_MILLISECONDS));
        }
        requireCommit(boundMilliseconds, "after all have room again");
        runUntil(mNowMilliseconds + FAULT_FREE_MILLISECONDS);
        long acknowledgedIndex = mChecks.acknowledgedIndex();
        mMembers.values().forEach(SimulatedMember::crash);
        mMembers.values().forEach(SimulatedMember::start);
        runUntil(mNowMilliseconds + FAULT_FREE_MILLISECONDS);
        SafetyChecks.check(
                isRecovered(acknowledgedIndex), "members did not recover: " + mMembers.values());
        return mChecks;
    }

    /** Does as {@link #runWithoutRoomInTurn}, with disks that hang instead of failing. */
    SafetyChecks runWithHangingDisksInTurn(long boundMilliseconds) {
        return runWithoutRoomInTurn(
                vm -> mMembers.get(vm).setDiskHangs(true),
                vm -> mMembers.get(vm).setDiskHangs(false),
                boundMilliseconds);
    }

    private boolean hasQuorumWithoutOne() {
        return mMembers.size() > 2;
    }

    /** Runs for this time, in which a new proposal has to be committed. */
    private void requireCommit(long boundMilliseconds, String when) {
        long acknowledgedIndex = mChecks.acknowledgedIndex();
        runUntil(mNowMilliseconds + boundMilliseconds);
        SafetyChecks.check(
                mChecks.acknowledgedIndex() > acknowledgedIndex,
                "nothing was committed " + when + ": " + mMembers.values());
    }

    private void killInFirstStart(SimulatedMember member, boolean hasWrittenNothing) {
        crash(member, mRandom.nextLong(50, 1_200));
        if (hasWrittenNothing) {
            member.loseDisk();
        }
    }

    SplittableRandom random() {
        return mRandom;
    }

    AgreementOptions options() {
        return mOptions;
    }

    /** Returns the rules for a member. */
    MembershipRules rules() {
        return mMayJoin
                ? MembershipRules.open(
                        mInitialVms, mToleratedLosses, REMOVE_UNRESPONSIVE_MILLISECONDS)
                : MembershipRules.fixed(vms());
    }

    boolean hasFixedMembers() {
        return !mMayJoin;
    }

    boolean isInitialVm(ObjectName vm) {
        return mInitialVms.contains(vm);
    }

    /** Starts all members without faults, and requests that go on until the simulation ends. */
    SafetyChecks startWithoutFaults() {
        mFaultsStopped = true;
        mMembers.values().forEach(SimulatedMember::start);
        after(1, this::nextRequest);
        runUntil(FAULT_FREE_MILLISECONDS);
        return mChecks;
    }

    /** Starts a member with an empty disk on a new VM. */
    SimulatedMember startNew(ObjectName vm) {
        SimulatedMember member = new SimulatedMember(this, mChecks, vm);
        mMembers.put(vm, member);
        member.start();
        return member;
    }

    SimulatedMember member(ObjectName vm) {
        return mMembers.get(vm);
    }

    /** Cuts a member off from all others, in both directions. */
    void cutOff(SimulatedMember member, long durationMilliseconds) {
        List<BlockedLink> blockedLinks = new ArrayList<>();
        for (ObjectName other : mMembers.keySet()) {
            blockedLinks.add(new BlockedLink(member.vm(), other));
            blockedLinks.add(new BlockedLink(other, member.vm()));
        }
        mBlockedLinks.addAll(blockedLinks);
        after(durationMilliseconds, () -> mBlockedLinks.removeAll(blockedLinks));
    }

    Set<ObjectName> vms() {
        return mMembers.keySet();
    }

    long nowMilliseconds() {
        return mNowMilliseconds;
    }

    /** Creates the disk of a member with a new identity. */
    MemberDisk newDisk(ObjectName vm, boolean isOfFirstStart) {
        mLastMemberNumber++;
        return mNewDisk.create(new MemberId(vm, mLastMemberNumber), isOfFirstStart);
    }

    long syncMilliseconds() {
        return mRandom.nextInt(10) == 0 ? mSlowSyncMilliseconds : mRandom.nextLong(4);
    }

    void after(long milliseconds, Runnable work) {
        mSequence++;
        mEvents.add(new Event(mNowMilliseconds + milliseconds, mSequence, work));
    }

    void send(ObjectName to, Envelope envelope) {
        ObjectName from = envelope.from().vm();
        boolean lost = !mFaultsStopped && mRandom.nextDouble() < mDropRate;
        if (from.equals(to) || lost) {
            return;
        }
        deliverLater(from, to, envelope);
        if (!mFaultsStopped && mRandom.nextDouble() < mDuplicateRate) {
            deliverLater(from, to, envelope);
        }
    }

    private void deliverLater(ObjectName from, ObjectName to, Envelope envelope) {
        long delayMilliseconds = mRandom.nextLong(1, 10);
        if (!mFaultsStopped && mRandom.nextInt(20) == 0) {
            delayMilliseconds = mRandom.nextLong(1, 1_500);
        }
        after(
                delayMilliseconds,
                () -> {
                    if (!mBlockedLinks.contains(new BlockedLink(from, to))) {
                        mMembers.get(to).receive(envelope);
                    }
                });
    }

    void runUntil(long atMilliseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= atMilliseconds) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.work().run();
        }
        mNowMilliseconds = atMilliseconds;
    }

    private void nextRequest() {
        mLastRequestId++;
        SimulatedMember member = likelyLeader();
        if (mRandom.nextBoolean()) {
            byte[] command = CommandListMachine.bytes("c" + mLastRequestId);
            member.propose(mLastRequestId, new EntryContent.Command(command));
        } else {
            member.confirm(mLastRequestId);
        }
        after(mRandom.nextLong(1, mFaultsStopped ? 80 : 30), this::nextRequest);
    }

    private void nextFault() {
        if (mFaultsStopped) {
            return;
        }
        SimulatedMember member = likelyLeader();
        long durationMilliseconds = mRandom.nextLong(20, 2 * mMaxFaultIntervalMilliseconds);
        switch (mRandom.nextInt(10)) {
            case 0, 1 -> crash(member, durationMilliseconds);
            case 2 -> pause(member, durationMilliseconds);
            case 3, 4 -> blockLinks(member, true, true, durationMilliseconds);
            case 5 -> blockLinks(member, true, false, durationMilliseconds);
            case 6 -> blockLinks(member, false, true, durationMilliseconds);
            case 7 -> fillDisk(member, durationMilliseconds);
            case 8 -> loseDisk(member, durationMilliseconds);
            default -> mBlockedLinks.clear();
        }
        after(mRandom.nextLong(10, mMaxFaultIntervalMilliseconds), this::nextFault);
    }

    void crash(SimulatedMember member, long durationMilliseconds) {
        member.crash();
        after(
                durationMilliseconds,
                () -> {
                    if (!member.isRunning()) {
                        member.start();
                    }
                });
    }

    void pause(SimulatedMember member, long durationMilliseconds) {
        member.pause();
        after(durationMilliseconds, member::resume);
    }

    private void blockLinks(
            SimulatedMember member, boolean outgoing, boolean incoming, long durationMilliseconds) {
        List<BlockedLink> blockedLinks = new ArrayList<>();
        boolean fromAll = mRandom.nextBoolean();
        for (ObjectName other : mMembers.keySet()) {
            if (fromAll || mRandom.nextBoolean()) {
                if (outgoing) {
                    blockedLinks.add(new BlockedLink(member.vm(), other));
                }
                if (incoming) {
                    blockedLinks.add(new BlockedLink(other, member.vm()));
                }
            }
        }
        mBlockedLinks.addAll(blockedLinks);
        after(2 * durationMilliseconds, () -> mBlockedLinks.removeAll(blockedLinks));
    }

    private void fillDisk(SimulatedMember member, long durationMilliseconds) {
        member.setDiskFull(true);
        after(durationMilliseconds, () -> member.setDiskFull(false));
    }

    /** Loses a disk, if a quorum of the committed membership still has its disks. */
    private void loseDisk(SimulatedMember member, long durationMilliseconds) {
        Membership membership = mChecks.committedMembership();
        long outsideMembership =
                mMembers.values().stream()
                        .filter(other -> other != member)
                        .filter(other -> !membership.contains(other.identity()))
                        .count();
        boolean allowed =
                membership.voters().size() == mMembers.size()
                        && outsideMembership + 1 <= (mMembers.size() - 1) / 2;
        if (allowed) {
            crash(member, durationMilliseconds);
            member.loseDisk();
        }
    }

    private boolean isRecovered(long acknowledgedIndex) {
        return mChecks.acknowledgedIndex() > acknowledgedIndex
                && mMembers.values().stream()
                        .allMatch(
                                member ->
                                        member.appliedIndex() > acknowledgedIndex
                                                && mChecks.committedMembership()
                                                        .contains(member.identity()));
    }

    /** Returns a random member, most often one that believes it is the leader. */
    private SimulatedMember likelyLeader() {
        List<SimulatedMember> leaders =
                mMembers.values().stream().filter(SimulatedMember::isLeader).toList();
        boolean choosesLeader = !leaders.isEmpty() && mRandom.nextInt(3) > 0;
        return oneOf(choosesLeader ? leaders : mMembers.values());
    }

    private <T> T oneOf(Iterable<T> items) {
        List<T> all = new ArrayList<>();
        items.forEach(all::add);
        return all.get(mRandom.nextInt(all.size()));
    }
}
