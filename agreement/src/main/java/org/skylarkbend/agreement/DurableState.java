package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;

/**
 * What a member reads back from its disk at its start.
 *
 * @param self who it is
 * @param hardState its term and vote
 * @param snapshot the state up to some entry
 * @param entries the entries that the files hold, without gaps
 */
public record DurableState(
        MemberId self, HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public DurableState {
        entries = List.copyOf(entries);
    }

    /** What a member with a new folder starts with. */
    public static DurableState uninitialized(MemberId self) {
        return new DurableState(self, HardState.initial(), Optional.empty(), List.of());
    }
}
