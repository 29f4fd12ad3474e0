package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.Result;

/** An in-memory disk that loses unsynced writes when its VM crashes. */
final class SimulatedDisk implements MemberDisk {
    private final MemberId mIdentity;
    private final boolean mIsOfFirstStart;
    private final Deque<AgreementEffect> mUnsynced = new ArrayDeque<>();
    private final Deque<AgreementEffect> mTail = new ArrayDeque<>();
    private HardState mHardState = HardState.initial();
    private Optional<Snapshot> mSnapshot = Optional.empty();
    private List<LogEntry> mEntries = new ArrayList<>();

    SimulatedDisk(MemberId identity, boolean isOfFirstStart) {
        mIdentity = identity;
        mIsOfFirstStart = isOfFirstStart;
    }

    @Override
    public MemberId identity() {
        return mIdentity;
    }

    @Override
    public void add(AgreementEffect write) {
        mUnsynced.add(write);
    }

    @Override
    public boolean hasUnsynced() {
        return !mUnsynced.isEmpty();
    }

    @Override
    public Result<Long> syncNext() {
        mTail.clear();
        AgreementEffect first = mUnsynced.poll();
        long number = write(first);
        while (first instanceof Persist && mUnsynced.peek() instanceof Persist) {
            number = write(mUnsynced.poll());
        }
        return Result.success(number);
    }

    @Override
    public boolean hasRoom(long sizeBytes) {
        return true;
    }

    @Override
    public void failAll(boolean mayComeBack) {
        mTail.clear();
        if (mayComeBack) {
            mUnsynced.stream().takeWhile(Persist.class::isInstance).forEach(mTail::add);
        }
        mUnsynced.clear();
    }

    /**
     * Simulates a crash: only a random prefix of the unsynced writes reaches the disk, or of those
     * that failed last.
     */
    @Override
    public void crash(SplittableRandom random) {
        Deque<AgreementEffect> written = mTail.isEmpty() ? mUnsynced : mTail;
        int kept = random.nextInt(written.size() + 1);
        for (int i = 0; i < kept; i++) {
            write(written.poll());
        }
        mTail.clear();
        mUnsynced.clear();
    }

    @Override
    public DurableState recovered() {
        long snapshotIndex = mSnapshot.map(Snapshot::index).orElse(0L);
        return new DurableState(
                mIdentity,
                mIsOfFirstStart,
                mHardState,
                mSnapshot,
                mEntries.stream().filter(entry -> entry.index() > snapshotIndex).toList());
    }

    private long write(AgreementEffect effect) {
        if (effect instanceof SaveSnapshot save) {
            mHardState = save.hardState();
            mSnapshot = Optional.of(save.snapshot());
            mEntries = new ArrayList<>(save.remaining());
            return save.number();
        }
        Persist persist = (Persist) effect;
        mHardState = persist.hardState().orElse(mHardState);
        for (LogEntry entry : persist.entries()) {
            mEntries.removeIf(old -> old.index() >= entry.index());
            mEntries.add(entry);
        }
        return persist.number();
    }
}
