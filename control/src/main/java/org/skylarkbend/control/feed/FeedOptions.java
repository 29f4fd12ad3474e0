package org.skylarkbend.control.feed;

import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The timeouts of the feed and the slices that routers may use.
 *
 * @param leaseMilliseconds the duration of a serving lease, counted from the sending of the
 *     heartbeat
 * @param retentionMilliseconds the time for which a router without heartbeats stays in the status
 * @param replicatedSlices the slices whose messages from routers are proposed to the log, each with
 *     a predicate for the payloads that routers may send
 * @param ownedSlices the slices whose messages from routers go to their owner on the leader
 */
public record FeedOptions(
        long leaseMilliseconds,
        long retentionMilliseconds,
        Map<String, Predicate<byte[]>> replicatedSlices,
        Set<String> ownedSlices) {
    private static final long RETENTION_MILLISECONDS = 600_000;
    private static final long CLOCK_DRIFT_DIVISOR = 10;

    /** Copies the collections. */
    public FeedOptions {
        replicatedSlices = Map.copyOf(replicatedSlices);
        ownedSlices = Set.copyOf(ownedSlices);
    }

    /** Returns options with the given lease. Silent routers stay in the status for ten minutes. */
    public static FeedOptions of(
            long leaseMilliseconds,
            Map<String, Predicate<byte[]>> replicatedSlices,
            Set<String> ownedSlices) {
        return new FeedOptions(
                leaseMilliseconds, RETENTION_MILLISECONDS, replicatedSlices, ownedSlices);
    }

    /**
     * Returns the time after which a lease has certainly expired at its router, even if the clock
     * rates of the two VMs differ by a tenth.
     */
    public long safeExpiryMilliseconds() {
        return leaseMilliseconds + leaseMilliseconds / CLOCK_DRIFT_DIVISOR;
    }
}
