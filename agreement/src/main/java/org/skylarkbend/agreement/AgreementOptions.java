package org.skylarkbend.agreement;

/**
 * The timeouts and size limits of the replicated log.
 *
 * <p>A member that has heard from a leader within {@code electionMinMilliseconds} grants no votes.
 * A leader's lease lasts that long minus the clock drift margin, starting when it sent the last
 * heartbeat that a quorum has acknowledged. The lease is safe only if the clock rates of two
 * members differ by less than the margin and no clock stops. Suspending a VM together with its
 * clock violates the second condition, so leadership is confirmed by a quorum round unless {@code
 * leaseReads} is set.
 *
 * @param heartbeatMilliseconds the interval between heartbeats of a leader
 * @param electionMinMilliseconds the minimum election timeout
 * @param electionMaxMilliseconds the maximum election timeout
 * @param leaseReads true if the lease may confirm leadership instead of a quorum round
 * @param driftMarginPercent the share by which the lease is shorter than the minimum election
 *     timeout
 * @param snapshotAfterEntries the number of applied entries after which a snapshot is taken
 * @param snapshotAfterBytes the size of applied entries after which a snapshot is taken
 * @param retainedEntries the maximum number of entries before a snapshot that are kept for lagging
 *     members
 * @param retainedBytes the maximum size of these entries
 * @param maxLogBytes the size of all entries in memory from which on a leader accepts no proposals
 *     and a follower no entries
 * @param maxMessageBytes the maximum size of the entries or snapshot data in one message
 */
public record AgreementOptions(
        long heartbeatMilliseconds,
        long electionMinMilliseconds,
        long electionMaxMilliseconds,
        boolean leaseReads,
        int driftMarginPercent,
        int snapshotAfterEntries,
        long snapshotAfterBytes,
        int retainedEntries,
        long retainedBytes,
        long maxLogBytes,
        int maxMessageBytes) {
    private static final int WHOLE_PERCENT = 100;
    private static final int SNAPSHOT_AFTER_ENTRIES = 1_000;
    private static final int RETAINED_ENTRIES = 200;
    private static final int MAX_MESSAGE_BYTES = 512 * 1024;

    /** The part of the heap that the default log may take. */
    private static final int HEAP_PARTS = 5;

    /** The part of the log that is committed between two snapshots. */
    private static final int SNAPSHOT_PARTS = 5;

    /** The part of the log that is kept for lagging members. */
    private static final int RETAINED_PARTS = 10;

    /** Validates that the timeouts are consistent. */
    public AgreementOptions {
        if (heartbeatMilliseconds < 1
                || electionMinMilliseconds < 2 * heartbeatMilliseconds
                || electionMaxMilliseconds <= electionMinMilliseconds) {
            throw new IllegalArgumentException(
                    "the minimum election timeout must be at least twice the heartbeat interval and"
                            + " less than the maximum");
        }
        if (retainedBytes + snapshotAfterBytes >= maxLogBytes) {
            throw new IllegalArgumentException(
                    "the maximum size of the log must be larger than that of the entries between"
                            + " two snapshots and of the retained entries together");
        }
    }

    /** Returns the defaults, for members a few milliseconds of network delay apart. */
    public static AgreementOptions defaults() {
        return withTimeouts(100, 600, 1_200);
    }

    /**
     * Returns options for members one millisecond of network delay apart whose callers time out
     * after one second; an election takes 0.6 s.
     */
    public static AgreementOptions lowLatency() {
        return withTimeouts(60, 300, 600);
    }

    /** Returns options whose log fits into the heap of this process. */
    private static AgreementOptions withTimeouts(
            long heartbeatMilliseconds,
            long electionMinMilliseconds,
            long electionMaxMilliseconds) {
        long logBytes = Runtime.getRuntime().maxMemory() / HEAP_PARTS;
        return new AgreementOptions(
                heartbeatMilliseconds,
                electionMinMilliseconds,
                electionMaxMilliseconds,
                false,
                10,
                SNAPSHOT_AFTER_ENTRIES,
                logBytes / SNAPSHOT_PARTS,
                RETAINED_ENTRIES,
                logBytes / RETAINED_PARTS,
                logBytes,
                MAX_MESSAGE_BYTES);
    }

    /** Returns the duration of a lease from the sending of a quorum-acknowledged heartbeat. */
    public long leaseMilliseconds() {
        return electionMinMilliseconds * (WHOLE_PERCENT - driftMarginPercent) / WHOLE_PERCENT;
    }
}
