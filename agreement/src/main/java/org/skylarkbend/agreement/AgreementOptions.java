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
 * @param retainedEntries the number of entries before a snapshot that are kept for lagging members
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
        int maxMessageBytes) {
    private static final int WHOLE_PERCENT = 100;

    /** Validates that the timeouts are consistent. */
    public AgreementOptions {
        if (heartbeatMilliseconds < 1
                || electionMinMilliseconds < 2 * heartbeatMilliseconds
                || electionMaxMilliseconds <= electionMinMilliseconds) {
            throw new IllegalArgumentException(
                    "the minimum election timeout must be at least twice the heartbeat interval and"
                            + " less than the maximum");
        }
    }

    /** Returns the defaults, for members a few milliseconds of network delay apart. */
    public static AgreementOptions defaults() {
        return new AgreementOptions(
                100, 600, 1_200, false, 10, 1_000, 8 * 1024 * 1024, 200, 512 * 1024);
    }

    /**
     * Returns options for members one millisecond of network delay apart whose callers time out
     * after one second; an election takes 0.6 s.
     */
    public static AgreementOptions lowLatency() {
        return new AgreementOptions(
                60, 300, 600, false, 10, 1_000, 8 * 1024 * 1024, 200, 512 * 1024);
    }

    /** Returns the duration of a lease from the sending of a quorum-acknowledged heartbeat. */
    public long leaseMilliseconds() {
        return electionMinMilliseconds * (WHOLE_PERCENT - driftMarginPercent) / WHOLE_PERCENT;
    }
}
