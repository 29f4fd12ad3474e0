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
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;

/** Several members under a network, disks and clocks that a seeded random source spoils. */
final class AgreementSchedule {
    private static final long FAULTS_MILLISECONDS = 4_000;
    private static final long RECOVERY_MILLISECONDS = 30_000;
    private static final long CALM_MILLISECONDS = 2_000;
    private static final int CONTACTS = 3;
    private static final long DROP_SILENT_MILLISECONDS = 700;

    private final SplittableRandom mRandom;
    private final ScheduleChecks mChecks = new ScheduleChecks();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMilliseconds)
                            .thenComparingLong(Event::sequence));
    private final Map<ObjectName, ScheduledMember> mMembers = new TreeMap<>();
    private final Set<Cut> mCuts = new HashSet<>();
    private final AgreementOptions mOptions;
    private final double mDropRate;
    private final double mRepeatRate;
    private final long mSlowSyncMilliseconds;
    private final long mFaultGapMilliseconds;
    private long mNowMilliseconds;
    private long mSequence;
    private long mIdentities;
    private long mQuestions;
    private boolean mCalm;
    private final boolean mOpen;

    /** Something that happens at a time. */
    private record Event(long atMilliseconds, long sequence, Runnable work) {}

    /** A direction in which no message passes. */
    private record Cut(ObjectName from, ObjectName to) {}

    /** Members that are named in the settings of all. */
    static AgreementSchedule listed(long seed) {
        return new AgreementSchedule(seed, false);
    }

    /** Five members that know three contacts, take one another in and drop who is silent. */
    static AgreementSchedule open(long seed) {
        return new AgreementSchedule(seed, true);
    }

    private AgreementSchedule(long seed, boolean open) {
        mOpen = open;
        mRandom = new SplittableRandom(seed);
        mOptions = new AgreementOptions(50, 150, 300, mRandom.nextBoolean(), 10, 8, 10_000, 3, 64);
        mDropRate = mRandom.nextDouble(0, 0.2);
        mRepeatRate = mRandom.nextDouble(0, 0.2);
        mSlowSyncMilliseconds = mRandom.nextLong(1, 60);
        mFaultGapMilliseconds = mRandom.nextLong(100, 700);
        int count = open || mRandom.nextInt(4) == 0 ? 5 : 3;
        List<ObjectName> vms =
                IntStream.rangeClosed(1, count).mapToObj(i -> ObjectName.of("vm-" + i)).toList();
        vms.forEach(vm -> mMembers.put(vm, null));
        vms.forEach(vm -> mMembers.put(vm, new ScheduledMember(this, mChecks, vm)));
    }

    /** Runs faults for a while, then repairs everything and waits until all members agree. */
    ScheduleChecks run() {
        mMembers.values().forEach(ScheduledMember::start);
        after(CALM_MILLISECONDS / 2, this::nextFault);
        after(1, this::nextQuestion);
        runUntil(FAULTS_MILLISECONDS);
        mCalm = true;
        mCuts.clear();
        for (ScheduledMember member : mMembers.values()) {
            member.setDiskFull(false);
            member.wake();
            if (!member.isRunning()) {
                member.start();
            }
        }
        runUntil(mNowMilliseconds + CALM_MILLISECONDS);
        long answeredIndex = mChecks.answeredIndex();
        long limitMilliseconds = mNowMilliseconds + RECOVERY_MILLISECONDS;
        while (!isRecovered(answeredIndex) && mNowMilliseconds < limitMilliseconds) {
            runUntil(mNowMilliseconds + mOptions.heartbeatMilliseconds());
        }
        ScheduleChecks.check(isRecovered(answeredIndex), "no recovery: " + mMembers.values());
        return mChecks;
    }

    SplittableRandom random() {
        return mRandom;
    }

    AgreementOptions options() {
        return mOptions;
    }

    /** Nobody may begin a log once there is one. */
    MemberRules rules() {
        if (!mOpen) {
            return MemberRules.listed(vms());
        }
        boolean isFirstStart = mChecks.committedMembership().voters().isEmpty();
        Set<ObjectName> contacts = new TreeSet<>(vms().stream().limit(CONTACTS).toList());
        return MemberRules.open(isFirstStart ? contacts : Set.of(), DROP_SILENT_MILLISECONDS);
    }

    Set<ObjectName> vms() {
        return mMembers.keySet();
    }

    long nowMilliseconds() {
        return mNowMilliseconds;
    }

    MemberId newIdentity(ObjectName vm) {
        mIdentities++;
        return new MemberId(vm, mIdentities);
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
        boolean lost = !mCalm && mRandom.nextDouble() < mDropRate;
        if (from.equals(to) || lost) {
            return;
        }
        deliverLater(from, to, envelope);
        if (!mCalm && mRandom.nextDouble() < mRepeatRate) {
            deliverLater(from, to, envelope);
        }
    }

    private void deliverLater(ObjectName from, ObjectName to, Envelope envelope) {
        long delayMilliseconds = mRandom.nextLong(1, 10);
        if (!mCalm && mRandom.nextInt(20) == 0) {
            delayMilliseconds = mRandom.nextLong(1, 1_500);
        }
        after(
                delayMilliseconds,
                () -> {
                    if (!mCuts.contains(new Cut(from, to))) {
                        mMembers.get(to).receive(envelope);
                    }
                });
    }

    private void runUntil(long atMilliseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= atMilliseconds) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.work().run();
        }
        mNowMilliseconds = atMilliseconds;
    }

    private void nextQuestion() {
        mQuestions++;
        ScheduledMember member = likelyLeader();
        if (mRandom.nextBoolean()) {
            byte[] command = AppendingMachine.bytes("c" + mQuestions);
            member.propose(mQuestions, new EntryContent.Command(command));
        } else {
            member.confirm(mQuestions);
        }
        after(mRandom.nextLong(1, mCalm ? 80 : 30), this::nextQuestion);
    }

    private void nextFault() {
        if (mCalm) {
            return;
        }
        ScheduledMember member = likelyLeader();
        long lengthMilliseconds = mRandom.nextLong(20, 2 * mFaultGapMilliseconds);
        switch (mRandom.nextInt(10)) {
            case 0, 1 -> crash(member, lengthMilliseconds);
            case 2 -> freeze(member, lengthMilliseconds);
            case 3, 4 -> cut(member, true, true, lengthMilliseconds);
            case 5 -> cut(member, true, false, lengthMilliseconds);
            case 6 -> cut(member, false, true, lengthMilliseconds);
            case 7 -> fillDisk(member, lengthMilliseconds);
            case 8 -> loseDisk(member, lengthMilliseconds);
            default -> mCuts.clear();
        }
        after(mRandom.nextLong(10, mFaultGapMilliseconds), this::nextFault);
    }

    private void crash(ScheduledMember member, long lengthMilliseconds) {
        member.crash();
        after(
                lengthMilliseconds,
                () -> {
                    if (!member.isRunning()) {
                        member.start();
                    }
                });
    }

    private void freeze(ScheduledMember member, long lengthMilliseconds) {
        member.freeze();
        after(lengthMilliseconds, member::wake);
    }

    private void cut(
            ScheduledMember member, boolean outgoing, boolean incoming, long lengthMilliseconds) {
        List<Cut> cuts = new ArrayList<>();
        boolean fromAll = mRandom.nextBoolean();
        for (ObjectName other : mMembers.keySet()) {
            if (fromAll || mRandom.nextBoolean()) {
                if (outgoing) {
                    cuts.add(new Cut(member.vm(), other));
                }
                if (incoming) {
                    cuts.add(new Cut(other, member.vm()));
                }
            }
        }
        mCuts.addAll(cuts);
        after(2 * lengthMilliseconds, () -> mCuts.removeAll(cuts));
    }

    private void fillDisk(ScheduledMember member, long lengthMilliseconds) {
        member.setDiskFull(true);
        after(lengthMilliseconds, () -> member.setDiskFull(false));
    }

    /** Loses a disk, so long as those of a quorum remain that were not replaced just now. */
    private void loseDisk(ScheduledMember member, long lengthMilliseconds) {
        Membership membership = mChecks.committedMembership();
        long unrepaired =
                mMembers.values().stream()
                        .filter(other -> other != member)
                        .filter(other -> !membership.contains(other.identity()))
                        .count();
        boolean allowed =
                membership.voters().size() == mMembers.size()
                        && unrepaired + 1 <= (mMembers.size() - 1) / 2;
        if (allowed) {
            crash(member, lengthMilliseconds);
            member.loseDisk();
        }
    }

    private boolean isRecovered(long answeredIndex) {
        return mChecks.answeredIndex() > answeredIndex
                && mMembers.values().stream()
                        .allMatch(
                                member ->
                                        member.appliedIndex() > answeredIndex
                                                && mChecks.committedMembership()
                                                        .contains(member.identity()));
    }

    /** More often than not a member that believes that it leads. */
    private ScheduledMember likelyLeader() {
        List<ScheduledMember> leaders =
                mMembers.values().stream().filter(ScheduledMember::isLeader).toList();
        boolean choosesLeader = !leaders.isEmpty() && mRandom.nextInt(3) > 0;
        return oneOf(choosesLeader ? leaders : mMembers.values());
    }

    private <T> T oneOf(Iterable<T> items) {
        List<T> all = new ArrayList<>();
        items.forEach(all::add);
        return all.get(mRandom.nextInt(all.size()));
    }
}
