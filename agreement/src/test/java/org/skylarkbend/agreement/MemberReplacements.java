package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;

/**
 * Replaces the VMs of a group, planned or after a loss, and disturbs others meanwhile. It never
 * loses more VMs at once than the group has to tolerate.
 *
 * <p>A VM is lost while it is down, paused or cut off, and for the catch-up time after that. A VM
 * that is gone for good is lost until its successor has run for that time. A VM that leaves as
 * planned is lost only for the time in which the others cannot know it.
 */
final class MemberReplacements {
    /** The timeouts of the simulation are half of those of a control VM, and so are these times. */
    private static final long CATCH_UP_MILLISECONDS = 2_000;

    private static final long SUCCESSOR_AFTER_MILLISECONDS = 500;
    private static final long MAX_LOSS_MILLISECONDS = 1_500;
    private static final long MAX_STEP_MILLISECONDS = 1_500;

    /** The time for which a VM that left without a notice counts as lost. */
    private static final long UNNOTICED_MILLISECONDS = 1_000;

    /** Ten times the maximum election timeout. */
    private static final long COMMIT_BOUND_MILLISECONDS = 3_000;

    /** The time after which a member that is stopped ends even if no leader has responded. */
    private static final long MAX_NOTICE_MILLISECONDS = 1_000;

    private static final long CHECK_MILLISECONDS = 50;
    private static final int MAX_PLANNED = 2;
    private static final int STEPS = 30;

    private final ClusterSimulation mSimulation;
    private final SafetyChecks mChecks;
    private final SplittableRandom mRandom;
    private final List<Place> mPlaces = new ArrayList<>();
    private final List<Long> mUnnoticedUntilMilliseconds = new ArrayList<>();
    private final StringBuilder mHistory = new StringBuilder();
    private final int mToleratedLosses;
    private final boolean mStopsWithNotice;
    private int mLastVm;
    private long mAcknowledgedIndex;
    private long mAcknowledgedAtMilliseconds;

    /** The place of one VM, which its successors take over. */
    private static final class Place {
        private SimulatedMember mMember;
        private long mLostUntilMilliseconds;
        private boolean mIsWithoutVm;
        private boolean mIsPlanned;

        Place(SimulatedMember member) {
            mMember = member;
        }
    }

    /**
     * Prepares a group that has to tolerate as many losses as its number of VMs bears.
     *
     * @param simulation the VMs, which have not started
     * @param stopsWithNotice true if VMs that leave as planned tell the others before; they are
     *     never lost then
     */
    MemberReplacements(ClusterSimulation simulation, boolean stopsWithNotice) {
        mStopsWithNotice = stopsWithNotice;
        mSimulation = simulation;
        mLastVm = simulation.vms().size();
        mToleratedLosses = (mLastVm - 1) / 2;
        mRandom = mSimulation.random();
        mChecks = mSimulation.startWithoutFaults();
        IntStream.rangeClosed(1, mLastVm)
                .mapToObj(i -> mSimulation.member(ObjectName.of("vm-" + i)))
                .forEach(member -> mPlaces.add(new Place(member)));
        mAcknowledgedAtMilliseconds = mSimulation.nowMilliseconds();
    }

    /**
     * Takes random steps. Proposals have to be committed within the bound all the time, and in the
     * end exactly the VMs in service are voters and have all that was acknowledged.
     */
    SafetyChecks run() {
        for (int step = 0; step < STEPS; step++) {
            takeStep();
            runFor(mRandom.nextLong(MAX_STEP_MILLISECONDS));
        }
        runFor(2 * (CATCH_UP_MILLISECONDS + MAX_LOSS_MILLISECONDS));
        long acknowledgedIndex = mChecks.acknowledgedIndex();
        runFor(CATCH_UP_MILLISECONDS);
        List<MemberId> inService =
                mPlaces.stream().map(place -> place.mMember.identity()).sorted().toList();
        check(
                mChecks.committedMembership().voters().equals(inService),
                "the voters are " + mChecks.committedMembership() + " instead of " + inService);
        for (Place place : mPlaces) {
            check(place.mMember.appliedIndex() >= acknowledgedIndex, "a member lags behind");
        }
        return mChecks;
    }

    private void takeStep() {
        if (mRandom.nextInt(4) == 0) {
            startPlannedReplacement(anyPlace());
            return;
        }
        Place place = mRandom.nextInt(3) == 0 ? placeOfLeader() : anyPlace();
        if (place.mIsWithoutVm || !isLost(place) && lostVms() >= mToleratedLosses) {
            return;
        }
        lose(place);
    }

    private void lose(Place place) {
        SimulatedMember member = place.mMember;
        long durationMilliseconds = mRandom.nextLong(1, MAX_LOSS_MILLISECONDS);
        switch (mRandom.nextInt(7)) {
            case 0 -> {
                record("pause", member);
                mSimulation.pause(member, durationMilliseconds);
            }
            case 1 -> {
                record("cut off", member);
                mSimulation.cutOff(member, durationMilliseconds);
            }
            case 2 -> {
                record("crash", member);
                mSimulation.crash(member, durationMilliseconds);
            }
            case 3 -> {
                record("lose disk of", member);
                mSimulation.crash(member, durationMilliseconds);
                member.loseDisk();
            }
            case 4 -> {
                if (mStopsWithNotice) {
                    record("restart", member);
                    stopWithNotice(member, () -> mSimulation.crash(member, durationMilliseconds));
                    loseUntil(place, MAX_NOTICE_MILLISECONDS);
                }
            }
            default -> {
                killForGood(place);
                return;
            }
        }
        loseUntil(place, durationMilliseconds + CATCH_UP_MILLISECONDS);
    }

    private void killForGood(Place place) {
        if (place.mIsPlanned) {
            return;
        }
        record("kill", place.mMember);
        place.mMember.end();
        place.mIsWithoutVm = true;
        loseUntil(place, SUCCESSOR_AFTER_MILLISECONDS + CATCH_UP_MILLISECONDS);
        mSimulation.after(
                SUCCESSOR_AFTER_MILLISECONDS,
                () -> {
                    place.mMember = startSuccessor();
                    place.mIsWithoutVm = false;
                });
    }

    /** Starts the successor, and ends the VM once that has run for the catch-up time. */
    private void startPlannedReplacement(Place place) {
        boolean isAllowed =
                mPlaces.stream().filter(other -> other.mIsPlanned).count() < MAX_PLANNED;
        if (!isAllowed || place.mIsPlanned || place.mIsWithoutVm) {
            return;
        }
        place.mIsPlanned = true;
        SimulatedMember successor = startSuccessor();
        mSimulation.after(CATCH_UP_MILLISECONDS, () -> leaveWhenAllowed(place, successor));
    }

    private void leaveWhenAllowed(Place place, SimulatedMember successor) {
        boolean countsAsLoss = !mStopsWithNotice && !isLost(place);
        if (lostVms() + (countsAsLoss ? 1 : 0) > mToleratedLosses) {
            mSimulation.after(CHECK_MILLISECONDS, () -> leaveWhenAllowed(place, successor));
            return;
        }
        SimulatedMember previous = place.mMember;
        place.mMember = successor;
        place.mIsPlanned = false;
        boolean wasLost = isLost(place);
        place.mLostUntilMilliseconds = 0;
        if (mStopsWithNotice && !wasLost) {
            record("stop with notice", previous);
            stopWithNotice(previous, previous::end);
        } else {
            record("stop", previous);
            previous.end();
            mUnnoticedUntilMilliseconds.add(mSimulation.nowMilliseconds() + UNNOTICED_MILLISECONDS);
        }
    }

    /** Stops a member, which may tell the others before it ends. */
    private void stopWithNotice(SimulatedMember member, Runnable end) {
        AtomicBoolean hasEnded = new AtomicBoolean();
        Runnable endOnce =
                () -> {
                    if (!hasEnded.getAndSet(true)) {
                        end.run();
                    }
                };
        member.leave(endOnce);
        mSimulation.after(MAX_NOTICE_MILLISECONDS, endOnce);
    }

    private SimulatedMember startSuccessor() {
        mLastVm++;
        SimulatedMember successor = mSimulation.startNew(ObjectName.of("vm-" + mLastVm));
        record("start", successor);
        return successor;
    }

    private void loseUntil(Place place, long durationMilliseconds) {
        place.mLostUntilMilliseconds =
                Math.max(
                        place.mLostUntilMilliseconds,
                        mSimulation.nowMilliseconds() + durationMilliseconds);
    }

    private boolean isLost(Place place) {
        return place.mLostUntilMilliseconds >= mSimulation.nowMilliseconds();
    }

    private long lostVms() {
        long unnoticed =
                mUnnoticedUntilMilliseconds.stream()
                        .filter(until -> until >= mSimulation.nowMilliseconds())
                        .count();
        return unnoticed + mPlaces.stream().filter(this::isLost).count();
    }

    private Place anyPlace() {
        return mPlaces.get(mRandom.nextInt(mPlaces.size()));
    }

    private Place placeOfLeader() {
        return mPlaces.stream()
                .filter(place -> place.mMember.isLeader())
                .findFirst()
                .orElseGet(this::anyPlace);
    }

    private void runFor(long milliseconds) {
        long endMilliseconds = mSimulation.nowMilliseconds() + milliseconds;
        while (mSimulation.nowMilliseconds() < endMilliseconds) {
            mSimulation.runUntil(
                    Math.min(endMilliseconds, mSimulation.nowMilliseconds() + CHECK_MILLISECONDS));
            if (mChecks.acknowledgedIndex() > mAcknowledgedIndex) {
                mAcknowledgedIndex = mChecks.acknowledgedIndex();
                mAcknowledgedAtMilliseconds = mSimulation.nowMilliseconds();
            }
            check(
                    mSimulation.nowMilliseconds() - mAcknowledgedAtMilliseconds
                            <= COMMIT_BOUND_MILLISECONDS,
                    "nothing was committed for " + COMMIT_BOUND_MILLISECONDS + " ms");
        }
    }

    private void record(String what, SimulatedMember member) {
        mHistory.append('\n')
                .append(mSimulation.nowMilliseconds())
                .append(' ')
                .append(what)
                .append(' ')
                .append(member.identity())
                .append(member.isLeader() ? " (leader)" : "");
    }

    private void check(boolean condition, String message) {
        SafetyChecks.check(
                condition,
                message
                        + " at "
                        + mSimulation.nowMilliseconds()
                        + mHistory
                        + "\nvoters committed "
                        + mChecks.committedMembership());
    }
}
