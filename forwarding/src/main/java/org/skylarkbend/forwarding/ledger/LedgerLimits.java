package org.skylarkbend.forwarding.ledger;

/**
 * Limits of the size and the retention of the ledger.
 *
 * @param maxRecords the maximum number of records; reservations of further calls are refused
 * @param retentionMilliseconds the time for which a record is kept after its last change
 */
public record LedgerLimits(int maxRecords, long retentionMilliseconds) {
    private static final int DEFAULT_MAX_RECORDS = 200_000;
    private static final long DEFAULT_RETENTION_MILLISECONDS = 24L * 3600 * 1000;

    /** Returns the default limits: 200,000 records, kept for 24 hours. */
    public static LedgerLimits defaults() {
        return new LedgerLimits(DEFAULT_MAX_RECORDS, DEFAULT_RETENTION_MILLISECONDS);
    }
}
