package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.agreement.AgreementEffect.Apply;
import org.skylarkbend.agreement.AgreementEffect.Broadcast;
import org.skylarkbend.agreement.AgreementEffect.CheckDisk;
import org.skylarkbend.agreement.AgreementEffect.ConfirmationFailed;
import org.skylarkbend.agreement.AgreementEffect.FailProposal;
import org.skylarkbend.agreement.AgreementEffect.LeadershipConfirmed;
import org.skylarkbend.agreement.AgreementEffect.LeaveDecided;
import org.skylarkbend.agreement.AgreementEffect.Restore;
import org.skylarkbend.agreement.AgreementEffect.RoleChanged;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementEffect.TakeSnapshot;
import org.skylarkbend.agreement.AgreementInput.ConfirmLeadership;
import org.skylarkbend.agreement.AgreementInput.DiskChecked;
import org.skylarkbend.agreement.AgreementInput.Leave;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;

/** A VM of a simulation: a decider, a disk and a clock, with injected faults. */
final class SimulatedMember {
    private static final long TICK_MILLISECONDS = 25;

    private final ClusterSimulation mSimulation;
    private final SafetyChecks mChecks;
    private final ObjectName mVm;
    private final double mClockRate;
    private final long mClockOffsetMilliseconds;
    private final Deque<Runnable> mDeferredWhilePaused = new ArrayDeque<>();
    private final Deque<AgreementInput> mInputs = new ArrayDeque<>();
    private final List<Send> mPendingSends = new ArrayList<>();
    private final Map<Long, EntryContent.Command> mProposals = new HashMap<>();
    private final Map<Long, Long> mAcknowledgedIndexAtRequest = new HashMap<>();
    private MemberDisk mDisk;
    private OptionalLong mCrashedMilliseconds = OptionalLong.empty();
    private Optional<AgreementDecider> mDecider = Optional.empty();
    private int mIncarnation;
    private long mAppliedIndex;
    private long mSyncedNumber;
    private long mLastNumber;
    private boolean mDeciding;
    private boolean mSyncing;
    private boolean mPaused;
    private boolean mDiskFull;
    private boolean mDiskHangs;
    private boolean mHasEnded;
    private Runnable mOnLeaveDecided = () -> {};

    SimulatedMember(ClusterSimulation simulation, SafetyChecks checks, ObjectName vm) {
        mSimulation = simulation;
        mChecks = checks;
        mVm = vm;
        mClockRate = simulation.random().nextDouble(0.96, 1.04);
        mClockOffsetMilliseconds = simulation.random().nextLong(1_000_000);
        mDisk = simulation.newDisk(vm, simulation.isInitialVm(vm));
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
        if (mHasEnded) {
            return;
        }
        mIncarnation++;
        mAppliedIndex = 0;
        mSyncedNumber = 0;
        mLastNumber = 0;
        mDecider =
                Optional.of(
                        new AgreementDecider(
                                mDisk.recovered(),
                                mSimulation.options(),
                                mSimulation.rules(),
                                mSimulation.random()::nextLong,
                                mCrashedMilliseconds.orElse(clockMilliseconds()),
                                clockMilliseconds()));
        tick(mIncarnation);
    }

    void crash() {
        mCrashedMilliseconds = OptionalLong.of(clockMilliseconds());
        mDecider = Optional.empty();
        mDisk.crash(mSimulation.random());
        mDeferredWhilePaused.clear();
        mPendingSends.clear();
        mProposals.clear();
        mAcknowledgedIndexAtRequest.clear();
        mSyncing = false;
        mPaused = false;
    }

    /** Tells the other members that this one is about to end, and runs the action once it may. */
    void leave(Runnable onDecided) {
        mOnLeaveDecided = onDecided;
        runWhenActive(() -> decide(new Leave()));
    }

    /** Ends the VM for good. */
    void end() {
        crash();
        mHasEnded = true;
    }

    void loseDisk() {
        mDisk = mSimulation.newDisk(mVm, mSimulation.hasFixedMembers());
    }

    void setDiskFull(boolean full) {
        mDiskFull = full;
    }

    /** Makes all operations of the disk wait until this is called with false. */
    void setDiskHangs(boolean hangs) {
        mDiskHangs = hangs;
    }

    void pause() {
        mPaused = isRunning();
    }

    void resume() {
        mPaused = false;
        while (!mDeferredWhilePaused.isEmpty() && !mPaused) {
            mDeferredWhilePaused.poll().run();
        }
    }

    void receive(Envelope envelope) {
        if (envelope.to().map(identity()::equals).orElse(true)) {
            runWhenActive(() -> decide(new Received(envelope.from(), envelope.message())));
        }
    }

    void propose(long proposalId, EntryContent.Command command) {
        runWhenActive(
                () -> {
                    mProposals.put(proposalId, command);
                    decide(new Propose(proposalId, command));
                });
    }

    void confirm(long confirmationId) {
        mAcknowledgedIndexAtRequest.put(confirmationId, mChecks.acknowledgedIndex());
        runWhenActive(() -> decide(new ConfirmLeadership(confirmationId)));
    }

    private long clockMilliseconds() {
        return mClockOffsetMilliseconds + (long) (mSimulation.nowMilliseconds() * mClockRate);
    }

    private void runWhenActive(Runnable work) {
        if (mPaused) {
            mDeferredWhilePaused.add(work);
        } else if (isRunning()) {
            work.run();
        }
    }

    private void tick(int incarnation) {
        if (incarnation == mIncarnation && isRunning()) {
            runWhenActive(() -> decide(new Tick()));
            mSimulation.after(TICK_MILLISECONDS, () -> tick(incarnation));
        }
    }

    private void decide(AgreementInput input) {
        mInputs.add(input);
        if (!mDeciding) {
            mDeciding = true;
            while (!mInputs.isEmpty()) {
                AgreementDecider decider = mDecider.orElseThrow();
                decider.decide(mInputs.poll(), clockMilliseconds()).forEach(this::execute);
            }
            mDeciding = false;
        }
    }

    private void execute(AgreementEffect effect) {
        if (effect instanceof Send send) {
            mPendingSends.add(send);
            sendReady();
        } else if (effect instanceof Broadcast broadcast) {
            for (ObjectName vm : mSimulation.vms()) {
                mSimulation.send(
                        vm, new Envelope(identity(), Optional.empty(), broadcast.message()));
            }
        } else if (effect instanceof AgreementEffect.Persist persist) {
            write(persist, persist.number());
        } else if (effect instanceof AgreementEffect.SaveSnapshot save) {
            write(save, save.number());
        } else if (effect instanceof CheckDisk check) {
            checkLater(check.sizeBytes());
        } else if (effect instanceof Apply apply) {
            apply(apply);
        } else if (effect instanceof Restore restore) {
            mChecks.checkRestored(restore.snapshot());
            mAppliedIndex = restore.snapshot().index();
        } else if (effect instanceof TakeSnapshot take) {
            SafetyChecks.check(
                    take.index() == mAppliedIndex,
                    "a snapshot was requested for an index other than the applied one");
            decide(new SnapshotTaken(take.index(), mChecks.snapshotAt(take.index())));
        } else {
            reportOutcome(effect);
        }
    }

    private void reportOutcome(AgreementEffect effect) {
        if (effect instanceof FailProposal failed) {
            EntryContent.Command command = mProposals.remove(failed.proposalId());
            if (failed.error().kind() != ErrorKind.COMMIT_UNKNOWN) {
                mChecks.recordRejected(command);
            }
        } else if (effect instanceof LeadershipConfirmed confirmed) {
            mChecks.checkRead(
                    mAppliedIndex, mAcknowledgedIndexAtRequest.remove(confirmed.confirmationId()));
        } else if (effect instanceof ConfirmationFailed failed) {
            mAcknowledgedIndexAtRequest.remove(failed.confirmationId());
        } else if (effect instanceof LeaveDecided) {
            mSimulation.after(1, mOnLeaveDecided);
        } else if (effect instanceof RoleChanged changed && changed.role() == MemberRole.LEADER) {
            mChecks.recordLeader(identity(), changed.term());
        }
    }

    private void apply(Apply apply) {
        mChecks.recordApplied(apply.entry(), mAppliedIndex);
        mAppliedIndex = apply.entry().index();
        if (apply.proposalId().isPresent()) {
            EntryContent.Command command = mProposals.remove(apply.proposalId().getAsLong());
            SafetyChecks.check(
                    apply.entry().content().equals(command),
                    "a proposal was completed with the entry of another one");
            mChecks.acknowledged(apply.entry().index());
        }
    }

    private void write(AgreementEffect effect, long number) {
        SafetyChecks.check(number > mLastNumber, "write numbers do not increase");
        mLastNumber = number;
        mDisk.add(effect);
        if (!mSyncing) {
            syncLater();
        }
    }

    private void syncLater() {
        mSyncing = true;
        MemberDisk disk = mDisk;
        onDisk(
                mIncarnation,
                () -> {
                    if (disk == mDisk) {
                        sync();
                    }
                });
    }

    /** Runs an operation of the disk later, unless the process ends before. */
    private void onDisk(int incarnation, Runnable operation) {
        mSimulation.after(
                mSimulation.syncMilliseconds(),
                () -> {
                    if (incarnation != mIncarnation || !isRunning()) {
                        return;
                    }
                    if (mDiskHangs) {
                        onDisk(incarnation, operation);
                    } else {
                        operation.run();
                    }
                });
    }

    private void checkLater(long sizeBytes) {
        onDisk(
                mIncarnation,
                () -> {
                    boolean canWrite = !mDiskFull && mDisk.hasRoom(sizeBytes);
                    runWhenActive(() -> decide(new DiskChecked(canWrite)));
                });
    }

    private void sync() {
        if (mDiskFull) {
            ErrorKind kind =
                    mSimulation.random().nextBoolean()
                            ? ErrorKind.STORAGE_FAILED
                            : ErrorKind.COMMIT_UNKNOWN;
            runWhenActive(() -> syncFailed(new SkylarkError(kind, "the disk is full")));
            return;
        }
        Result<Long> result = mDisk.syncNext();
        runWhenActive(() -> result.match(this::synced, this::syncFailed));
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

    private void syncFailed(SkylarkError error) {
        mSyncing = false;
        mDisk.failAll(error.kind() == ErrorKind.COMMIT_UNKNOWN);
        mPendingSends.clear();
        decide(new PersistFailed(mLastNumber, error));
    }

    private void sendReady() {
        mPendingSends.removeIf(
                send -> {
                    boolean ready = send.afterPersist() <= mSyncedNumber;
                    if (ready) {
                        mSimulation.send(
                                send.to().vm(),
                                new Envelope(identity(), Optional.of(send.to()), send.message()));
                    }
                    return ready;
                });
    }
}
