package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;

/**
 * Loses all VMs of one data centre at once, again and again, in a group that is not told how many
 * losses it has to tolerate.
 *
 * <p>The next data centre is lost only after the VMs of the last one, or their successors, have run
 * for the catch-up time.
 */
final class DataCentreLosses {
    /** The timeouts of the simulation are half of those of a control VM, and so are these times. */
    private static final long CATCH_UP_MILLISECONDS = 2_000;

    private static final long MAX_LOSS_MILLISECONDS = 1_500;
    private static final long MAX_CALM_MILLISECONDS = 1_500;

    /** Ten times the maximum election timeout. */
    private static final long COMMIT_BOUND_MILLISECONDS = 3_000;

    private static final long CHECK_MILLISECONDS = 50;
    private static final int LOSSES = 12;

    private final ClusterSimulation mSimulation;
    private final SafetyChecks mChecks;
    private final SplittableRandom mRandom;
    private final List<List<SimulatedMember>> mDataCentres = new ArrayList<>();
    private final StringBuilder mHistory = new StringBuilder();
    private int mLastVm;
    private long mAcknowledgedIndex;
    private long mAcknowledgedAtMilliseconds;

    /**
     * Prepares a group.
     *
     * @param seed the seed of all random choices
     * @param sizes the number of control VMs in each data centre
     */
    DataCentreLosses(long seed, int... sizes) {
        int vms = IntStream.of(sizes).sum();
        mSimulation = ClusterSimulation.joiningMembers(seed, vms, 0);
        mRandom = mSimulation.random();
        mChecks = mSimulation.startWithoutFaults();
        IntStream.of(sizes).forEach(size -> mDataCentres.add(new ArrayList<>()));
        for (int i = 0; mLastVm < vms; i = (i + 1) % sizes.length) {
            if (mDataCentres.get(i).size() < sizes[i]) {
                mLastVm++;
                mDataCentres.get(i).add(mSimulation.member(ObjectName.of("vm-" + mLastVm)));
            }
        }
        mAcknowledgedAtMilliseconds = mSimulation.nowMilliseconds();
    }

    /** Loses data centres. Proposals have to be committed within the bound all the time. */
    SafetyChecks run() {
        runFor(CATCH_UP_MILLISECONDS);
        for (int i = 0; i < LOSSES; i++) {
            long durationMilliseconds = mRandom.nextLong(1, MAX_LOSS_MILLISECONDS);
            lose(mDataCentres.get(mRandom.nextInt(mDataCentres.size())), durationMilliseconds);
            runFor(durationMilliseconds + CATCH_UP_MILLISECONDS + 1);
            runFor(mRandom.nextLong(MAX_CALM_MILLISECONDS));
        }
        return mChecks;
    }

    private void lose(List<SimulatedMember> dataCentre, long durationMilliseconds) {
        int kind = mRandom.nextInt(5);
        for (int i = 0; i < dataCentre.size(); i++) {
            SimulatedMember member = dataCentre.get(i);
            switch (kind) {
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
                default -> {
                    record("kill", member);
                    member.end();
                    int place = i;
                    mSimulation.after(
                            durationMilliseconds, () -> dataCentre.set(place, startSuccessor()));
                }
            }
        }
    }

    private SimulatedMember startSuccessor() {
        mLastVm++;
        SimulatedMember successor = mSimulation.startNew(ObjectName.of("vm-" + mLastVm));
        record("start", successor);
        return successor;
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
            SafetyChecks.check(
                    mSimulation.nowMilliseconds() - mAcknowledgedAtMilliseconds
                            <= COMMIT_BOUND_MILLISECONDS,
                    "nothing was committed for "
                            + COMMIT_BOUND_MILLISECONDS
                            + " ms at "
                            + mSimulation.nowMilliseconds()
                            + mHistory
                            + "\nvoters committed "
                            + mChecks.committedMembership());
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
}
