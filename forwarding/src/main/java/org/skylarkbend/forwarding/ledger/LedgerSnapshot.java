package org.skylarkbend.forwarding.ledger;

import java.util.List;

/**
 * The state of the ledger at one index of the log.
 *
 * @param nowEpochMilliseconds the latest time that was applied to the ledger
 * @param records all records, ordered by their last change, oldest first
 */
public record LedgerSnapshot(long nowEpochMilliseconds, List<CallRecord> records) {
    /** Copies the list of records. */
    public LedgerSnapshot {
        records = List.copyOf(records);
    }

    /** Returns the snapshot of an empty ledger. */
    public static LedgerSnapshot empty() {
        return new LedgerSnapshot(0, List.of());
    }
}
