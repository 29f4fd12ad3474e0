package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;

/**
 * The state that a member recovers from disk when it starts.
 *
 * @param self the identity of the member
 * @param isOfFirstStart true if the disk was empty at the first start of the system; false if it
 *     may replace a disk that was lost
 * @param hardState its term and vote
 * @param snapshot its newest snapshot
 * @param entries the entries of the log file after the snapshot, without gaps
 */
public record DurableState(
        MemberId self,
        boolean isOfFirstStart,
        HardState hardState,
        Optional<Snapshot> snapshot,
        List<LogEntry> entries) {
    /** Copies the entries. */
    public DurableState {
        entries = List.copyOf(entries);
    }

    /** Returns the state of a member with a new data folder. */
    public static DurableState uninitialized(MemberId self, boolean isOfFirstStart) {
        return new DurableState(
                self, isOfFirstStart, HardState.initial(), Optional.empty(), List.of());
    }
}
