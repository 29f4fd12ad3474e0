package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;

/**
 * The state that the records of a log file add up to. Keeps only the entries after the snapshot.
 */
final class RecoveredLog {
    private final Optional<Snapshot> mSnapshot;
    private final List<LogEntry> mFollowing = new ArrayList<>();
    private HardState mHardState = HardState.initial();
    private boolean mConflictsWithSnapshot;

    RecoveredLog(Optional<Snapshot> snapshot) {
        mSnapshot = snapshot;
    }

    /** Adds the next record of the file. An entry replaces all entries from its index on. */
    void add(LogRecord record) {
        mHardState = record.hardState().orElse(mHardState);
        record.entry().ifPresent(this::add);
    }

    /** Returns the state; fails with {@code STORAGE_FAILED} if an entry is missing. */
    Result<DurableState> stateOf(MemberId self, boolean isOfFirstStart) {
        // Entries that follow a conflicting one were never committed.
        List<LogEntry> following = mConflictsWithSnapshot ? List.of() : mFollowing;
        long firstIndex = snapshotIndex() + 1;
        for (int i = 0; i < following.size(); i++) {
            if (following.get(i).index() != firstIndex + i) {
                return Result.failure(
                        ErrorKind.STORAGE_FAILED,
                        "entry " + (firstIndex + i) + " is missing from the log");
            }
        }
        return Result.success(
                new DurableState(self, isOfFirstStart, mHardState, mSnapshot, following));
    }

    private void add(LogEntry entry) {
        while (!mFollowing.isEmpty()
                && mFollowing.get(mFollowing.size() - 1).index() >= entry.index()) {
            mFollowing.remove(mFollowing.size() - 1);
        }
        if (entry.index() > snapshotIndex()) {
            mFollowing.add(entry);
        } else {
            mConflictsWithSnapshot =
                    entry.index() == snapshotIndex()
                            && entry.term() != mSnapshot.orElseThrow().term();
        }
    }

    private long snapshotIndex() {
        return mSnapshot.map(Snapshot::index).orElse(0L);
    }
}
