package org.skylarkbend.agreement;

/**
 * The times and sizes of the log.
 *
 * <p>A member that has heard from a leader within {@code electionMinMilliseconds} votes for nobody.
 * A leader's lease is that time less the drift margin, counted from the sending of a heartbeat that
 * a quorum has answered. It is safe while the clocks of two members run at rates that differ by
 * less than the margin, and while no clock stands still: a VM that is suspended with its clock
 * breaks the second condition, which is why confirmed reads ask a quorum unless {@code leaseReads}
 * is set.
 *
 * @param heartbeatMilliseconds how often a leader sends
 * @param electionMinMilliseconds how long a member waits at least before it stands for election
 * @param electionMaxMilliseconds how long it waits at most
 * @param leaseReads whether a confirmation may come from the lease instead of a quorum round
 * @param driftMarginPercent by how much the lease is shorter than the shortest election wait
 * @param snapshotAfterEntries a snapshot is taken after so many applied entries
 * @param snapshotAfterBytes a snapshot is taken after so many bytes of applied entries
 * @param retainedEntries how many entries before a snapshot are kept for members that lag
 * @param maxMessageBytes how many bytes of entries or snapshot one message carries
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

    /** Refuses times that cannot work together. */
    public AgreementOptions {
        if (heartbeatMilliseconds < 1
                || electionMinMilliseconds < 2 * heartbeatMilliseconds
                || electionMaxMilliseconds <= electionMinMilliseconds) {
            throw new IllegalArgumentException(
                    "the election wait must be at least twice the heartbeat and have a range");
        }
    }

    /** The defaults: for members a few milliseconds apart. */
    public static AgreementOptions defaults() {
        return new AgreementOptions(
                100, 600, 1_200, false, 10, 1_000, 8 * 1024 * 1024, 200, 512 * 1024);
    }

    /** For members one millisecond apart whose callers wait a second: elections take 0.6 s. */
    public static AgreementOptions quick() {
        return new AgreementOptions(
                60, 300, 600, false, 10, 1_000, 8 * 1024 * 1024, 200, 512 * 1024);
    }

    /** How long a lease runs from the sending of the heartbeat that a quorum answered. */
    public long leaseMilliseconds() {
        return electionMinMilliseconds * (WHOLE_PERCENT - driftMarginPercent) / WHOLE_PERCENT;
    }
}
