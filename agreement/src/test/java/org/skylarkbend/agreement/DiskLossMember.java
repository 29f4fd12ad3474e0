package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.agreement.AgreementEffect.Apply;
import org.skylarkbend.agreement.AgreementEffect.Broadcast;
import org.skylarkbend.agreement.AgreementEffect.MembershipChanged;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.Restore;
import org.skylarkbend.agreement.AgreementEffect.RoleChanged;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementEffect.TakeSnapshot;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.base.ObjectName;

/** A member of {@link DiskLossSimulation}: a decider and a disk. */
final class DiskLossMember {
    private static final long TICK_MILLISECONDS = 25;

    private final DiskLossSimulation mSimulation;
    private final ObjectName mVm;
    private final Deque<AgreementInput> mInputs = new ArrayDeque<>();
    private final List<Send> mWaiting = new ArrayList<>();
    private MemberDisk mDisk;
    private Optional<AgreementDecider> mDecider = Optional.empty();
    private long mCrashedMilliseconds = -1_000;
    private int mIncarnation;
    private long mAppliedIndex;
    private long mMembershipIndex;
    private long mSyncedNumber;
    private boolean mDeciding;
    private boolean mSyncing;

    DiskLossMember(DiskLossSimulation simulation, ObjectName vm, MemberDisk disk) {
        mSimulation = simulation;
        mVm = vm;
        mDisk = disk;
    }

    ObjectName vm() {
        return mVm;
    }

    MemberId identity() {
        return mDisk.identity();
    }

    long appliedIndex() {
        return mAppliedIndex;
    }

    @Override
    public String toString() {
        return identity()
                + mDecider.map(d -> " " + d.role() + " " + d.membership().voters()).orElse(" down");
    }

    void start() {
        mDecider =
                Optional.of(
                        new AgreementDecider(
                                mDisk.recovered(),
                                mSimulation.options(),
                                mSimulation.rules(),
                                mSimulation.random()::nextLong,
                                mCrashedMilliseconds,
                                mSimulation.nowMilliseconds()));
        tick(mIncarnation);
    }

    void startIfDown() {
        if (mDecider.isEmpty()) {
            start();
        }
    }

    void crash() {
        mIncarnation++;
        mCrashedMilliseconds = mSimulation.nowMilliseconds();
        mDecider = Optional.empty();
        mDisk.crash(mSimulation.random());
        mWaiting.clear();
        mSyncing = false;
        mSyncedNumber = 0;
        mAppliedIndex = 0;
        mMembershipIndex = 0;
    }

    void replaceDisk(MemberDisk disk) {
        mDisk = disk;
    }

    void receive(Envelope envelope) {
        if (envelope.to().map(identity()::equals).orElse(true)) {
            decide(new Received(envelope.from(), envelope.message()));
        }
    }

    void proposeIfLeader(long proposalId, EntryContent.Command command) {
        if (mDecider.filter(decider -> decider.role() == MemberRole.LEADER).isPresent()) {
            decide(new Propose(proposalId, command));
        }
    }

    private void tick(int incarnation) {
        if (incarnation == mIncarnation) {
            decide(new Tick());
            mSimulation.after(TICK_MILLISECONDS, () -> tick(incarnation));
        }
    }

    private void decide(AgreementInput input) {
        if (mDecider.isEmpty()) {
            return;
        }
        mInputs.add(input);
        if (!mDeciding) {
            mDeciding = true;
            while (!mInputs.isEmpty()) {
                mDecider.get()
                        .decide(mInputs.poll(), mSimulation.nowMilliseconds())
                        .forEach(this::execute);
            }
            mDeciding = false;
        }
    }

    private void execute(AgreementEffect effect) {
        if (effect instanceof Send send) {
            mWaiting.add(send);
            sendReady();
        } else if (effect instanceof Broadcast broadcast) {
            mSimulation.send(new Envelope(identity(), Optional.empty(), broadcast.message()));
        } else if (effect instanceof Persist || effect instanceof SaveSnapshot) {
            mDisk.add(effect);
            syncLater();
        } else if (effect instanceof Apply apply) {
            apply(apply);
        } else if (effect instanceof Restore restore) {
            mSimulation.checks().checkRestored(restore.snapshot());
            mAppliedIndex = restore.snapshot().index();
        } else if (effect instanceof TakeSnapshot take) {
            byte[] state = mSimulation.checks().snapshotAt(take.index());
            decide(new SnapshotTaken(take.index(), state));
        } else if (effect instanceof MembershipChanged changed) {
            mMembershipIndex = changed.index();
        } else if (effect instanceof RoleChanged changed && changed.role() == MemberRole.LEADER) {
            mSimulation.checks().recordLeader(identity(), changed.term());
        }
    }

    private void apply(Apply apply) {
        mSimulation.checks().recordApplied(apply.entry(), mAppliedIndex);
        mAppliedIndex = apply.entry().index();
        if (apply.proposalId().isPresent()) {
            mSimulation.acknowledged(
                    apply.entry(),
                    mDecider.orElseThrow().membership(),
                    mMembershipIndex > mAppliedIndex);
        }
    }

    private void syncLater() {
        if (mSyncing) {
            return;
        }
        mSyncing = true;
        int incarnation = mIncarnation;
        mSimulation.after(
                mSimulation.syncMilliseconds(),
                () -> {
                    if (incarnation == mIncarnation) {
                        mDisk.syncNext().match(this::synced, error -> {});
                    }
                });
    }

    private void synced(long number) {
        mSyncing = false;
        mSyncedNumber = number;
        mSimulation.synced(identity(), mDisk.recovered().entries());
        sendReady();
        decide(new Persisted(number));
        if (mDisk.hasUnsynced()) {
            syncLater();
        }
    }

    private void sendReady() {
        mWaiting.removeIf(
                send -> {
                    boolean isReady = send.afterPersist() <= mSyncedNumber;
                    if (isReady) {
                        mSimulation.send(
                                new Envelope(identity(), Optional.of(send.to()), send.message()));
                    }
                    return isReady;
                });
    }
}
