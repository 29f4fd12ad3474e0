package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.agreement.AgreementEffect.Apply;
import org.skylarkbend.agreement.AgreementEffect.Broadcast;
import org.skylarkbend.agreement.AgreementEffect.ConfirmationFailed;
import org.skylarkbend.agreement.AgreementEffect.FailProposal;
import org.skylarkbend.agreement.AgreementEffect.LeadershipConfirmed;
import org.skylarkbend.agreement.AgreementEffect.Restore;
import org.skylarkbend.agreement.AgreementEffect.RoleChanged;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementEffect.TakeSnapshot;
import org.skylarkbend.agreement.AgreementInput.Confirm;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;

/** One VM of a schedule: a decider, a disk, a clock, and the faults of all three. */
final class ScheduledMember {
    private static final long TICK_MILLISECONDS = 25;

    private final AgreementSchedule mSchedule;
    private final ScheduleChecks mChecks;
    private final ObjectName mVm;
    private final double mClockRate;
    private final long mClockOffsetMilliseconds;
    private final Deque<Runnable> mWhileFrozen = new ArrayDeque<>();
    private final Deque<AgreementInput> mInputs = new ArrayDeque<>();
    private final List<Send> mHeld = new ArrayList<>();
    private final Map<Long, EntryContent.Command> mProposals = new HashMap<>();
    private final Map<Long, Long> mAnsweredBefore = new HashMap<>();
    private ScheduledDisk mDisk;
    private Optional<AgreementDecider> mDecider = Optional.empty();
    private int mProcess;
    private long mAppliedIndex;
    private long mSyncedNumber;
    private long mLastNumber;
    private boolean mDeciding;
    private boolean mSyncing;
    private boolean mFrozen;
    private boolean mDiskFull;

    ScheduledMember(AgreementSchedule schedule, ScheduleChecks checks, ObjectName vm) {
        mSchedule = schedule;
        mChecks = checks;
        mVm = vm;
        mClockRate = schedule.random().nextDouble(0.96, 1.04);
        mClockOffsetMilliseconds = schedule.random().nextLong(1_000_000);
        mDisk = new ScheduledDisk(schedule.newIdentity(vm));
    }

    ObjectName vm() {
        return mVm;
    }

    @Override
    public String toString() {
        return identity()
                + mDecider.map(
                                decider ->
                                        " "
                                                + decider.role()
                                                + " term "
                                                + decider.term()
                                                + " leader "
                                                + decider.leader()
                                                + " members "
                                                + decider.membership().voters()
                                                + " applied "
                                                + decider.appliedIndex())
                        .orElse(" down");
    }

    MemberId identity() {
        return mDisk.identity();
    }

    long appliedIndex() {
        return mAppliedIndex;
    }

    boolean isRunning() {
        return mDecider.isPresent();
    }

    boolean isLeader() {
        return mDecider.filter(decider -> decider.role() == MemberRole.LEADER).isPresent();
    }

    void start() {
        mProcess++;
        mAppliedIndex = 0;
        mSyncedNumber = 0;
        mLastNumber = 0;
        mDecider =
                Optional.of(
                        new AgreementDecider(
                                mDisk.recovered(),
                                mSchedule.options(),
                                mSchedule.rules(),
                                mSchedule.random()::nextLong,
                                clockMilliseconds()));
        tick(mProcess);
    }

    void crash() {
        mDecider = Optional.empty();
        mDisk.crash(mSchedule.random());
        mWhileFrozen.clear();
        mHeld.clear();
        mProposals.clear();
        mAnsweredBefore.clear();
        mSyncing = false;
        mFrozen = false;
    }

    void loseDisk() {
        mDisk = new ScheduledDisk(mSchedule.newIdentity(mVm));
    }

    void setDiskFull(boolean full) {
        mDiskFull = full;
    }

    void freeze() {
        mFrozen = isRunning();
    }

    void wake() {
        mFrozen = false;
        while (!mWhileFrozen.isEmpty() && !mFrozen) {
            mWhileFrozen.poll().run();
        }
    }

    void receive(Envelope envelope) {
        if (envelope.to().map(identity()::equals).orElse(true)) {
            inProcess(() -> decide(new Received(envelope.from(), envelope.message())));
        }
    }

    void propose(long proposal, EntryContent.Command command) {
        inProcess(
                () -> {
                    mProposals.put(proposal, command);
                    decide(new Propose(proposal, command));
                });
    }

    void confirm(long confirmation) {
        mAnsweredBefore.put(confirmation, mChecks.answeredIndex());
        inProcess(() -> decide(new Confirm(confirmation)));
    }

    private long clockMilliseconds() {
        return mClockOffsetMilliseconds + (long) (mSchedule.nowMilliseconds() * mClockRate);
    }

    private void inProcess(Runnable work) {
        if (mFrozen) {
            mWhileFrozen.add(work);
        } else if (isRunning()) {
            work.run();
        }
    }

    private void tick(int process) {
        if (process == mProcess && isRunning()) {
            inProcess(() -> decide(new Tick()));
            mSchedule.after(TICK_MILLISECONDS, () -> tick(process));
        }
    }

    private void decide(AgreementInput input) {
        mInputs.add(input);
        if (!mDeciding) {
            mDeciding = true;
            while (!mInputs.isEmpty()) {
                AgreementDecider decider = mDecider.orElseThrow();
                decider.decide(mInputs.poll(), clockMilliseconds()).forEach(this::carryOut);
            }
            mDeciding = false;
        }
    }

    private void carryOut(AgreementEffect effect) {
        if (effect instanceof Send send) {
            mHeld.add(send);
            sendReady();
        } else if (effect instanceof Broadcast broadcast) {
            for (ObjectName vm : mSchedule.vms()) {
                mSchedule.send(vm, new Envelope(identity(), Optional.empty(), broadcast.message()));
            }
        } else if (effect instanceof AgreementEffect.Persist persist) {
            write(persist, persist.number());
        } else if (effect instanceof AgreementEffect.SaveSnapshot save) {
            write(save, save.number());
        } else if (effect instanceof Apply apply) {
            apply(apply);
        } else if (effect instanceof Restore restore) {
            mChecks.restored(restore.snapshot());
            mAppliedIndex = restore.snapshot().index();
        } else if (effect instanceof TakeSnapshot take) {
            ScheduleChecks.check(take.index() == mAppliedIndex, "a snapshot of another index");
            decide(new SnapshotTaken(take.index(), mChecks.snapshotAt(take.index())));
        } else {
            tell(effect);
        }
    }

    private void tell(AgreementEffect effect) {
        if (effect instanceof FailProposal failed) {
            EntryContent.Command command = mProposals.remove(failed.proposal());
            if (failed.error().kind() != ErrorKind.COMMIT_UNKNOWN) {
                mChecks.refused(command);
            }
        } else if (effect instanceof LeadershipConfirmed confirmed) {
            mChecks.read(mAppliedIndex, mAnsweredBefore.remove(confirmed.confirmation()));
        } else if (effect instanceof ConfirmationFailed failed) {
            mAnsweredBefore.remove(failed.confirmation());
        } else if (effect instanceof RoleChanged changed && changed.role() == MemberRole.LEADER) {
            mChecks.leads(identity(), changed.term());
        }
    }

    private void apply(Apply apply) {
        mChecks.applied(apply.entry(), mAppliedIndex);
        mAppliedIndex = apply.entry().index();
        if (apply.proposal().isPresent()) {
            EntryContent.Command command = mProposals.remove(apply.proposal().getAsLong());
            ScheduleChecks.check(
                    apply.entry().content().equals(command), "the answer of another proposal");
            mChecks.answered(apply.entry().index());
        }
    }

    private void write(AgreementEffect effect, long number) {
        ScheduleChecks.check(number > mLastNumber, "writes out of order");
        mLastNumber = number;
        mDisk.add(effect);
        if (!mSyncing) {
            syncLater();
        }
    }

    private void syncLater() {
        mSyncing = true;
        int process = mProcess;
        ScheduledDisk disk = mDisk;
        mSchedule.after(
                mSchedule.syncMilliseconds(),
                () -> {
                    if (process == mProcess && disk == mDisk && isRunning()) {
                        sync();
                    }
                });
    }

    private void sync() {
        if (mDiskFull) {
            inProcess(this::syncFailed);
            return;
        }
        long number = mDisk.syncNext();
        inProcess(() -> synced(number));
    }

    private void synced(long number) {
        mSyncing = false;
        mSyncedNumber = number;
        sendReady();
        decide(new Persisted(number));
        if (mDisk.hasUnsynced() && !mSyncing) {
            syncLater();
        }
    }

    private void syncFailed() {
        mSyncing = false;
        mDisk.failAll();
        mHeld.clear();
        decide(new PersistFailed(mLastNumber, "the disk is full"));
    }

    private void sendReady() {
        mHeld.removeIf(
                send -> {
                    boolean ready = send.afterPersist() <= mSyncedNumber;
                    if (ready) {
                        mSchedule.send(
                                send.to().vm(),
                                new Envelope(identity(), Optional.of(send.to()), send.message()));
                    }
                    return ready;
                });
    }
}
