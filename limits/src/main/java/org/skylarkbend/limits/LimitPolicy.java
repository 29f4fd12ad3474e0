package org.skylarkbend.limits;

/**
 * How owner and routers share a bucket. Both sides must use the same policy.
 *
 * @param holderDivisor one router holds at most the burst divided by this, in use and not
 * @param prefetchMilliseconds a router asks ahead for the tokens of this time
 * @param reserveDivisor a router with recent use keeps the burst divided by this at hand
 * @param reportMilliseconds the least time between two reports of a router
 * @param idleReportMilliseconds the time after which a router reports in any case
 * @param waitMilliseconds how long a call may wait for tokens
 * @param maxWaitingCalls how many calls of a customer may wait at one router
 * @param endpointStopMilliseconds within this time endpoints stop work for a router that died
 * @param headStartMilliseconds the bucket of a new owner holds the tokens of this time, in which
 *     nobody can have owned the limits
 */
public record LimitPolicy(
        long holderDivisor,
        long prefetchMilliseconds,
        long reserveDivisor,
        long reportMilliseconds,
        long idleReportMilliseconds,
        long waitMilliseconds,
        int maxWaitingCalls,
        long endpointStopMilliseconds,
        long headStartMilliseconds) {
    /** A member that has heard a leader elects no other for so long (quick agreement options). */
    private static final long LEADERLESS_MILLISECONDS = 300;

    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** The policy of programs. */
    public static LimitPolicy standard() {
        return new LimitPolicy(4, 200, 64, 20, 1_000, 300, 256, 30_000, 0);
    }

    /**
     * The policy of sites whose gateways count a call when they send it. A prompt may be larger
     * than a quarter of a burst, and a refusal is due within an eighth of the answer's target of
     * 0.8 s. A run that has died leaves nothing to count: its calls were counted when it sent them.
     */
    public static LimitPolicy countedWhenSent() {
        return new LimitPolicy(3, 1_000, 64, 30, 1_000, 100, 256, 0, LEADERLESS_MILLISECONDS);
    }

    /** What the bucket of a new owner holds at once. */
    long headStartTokens(CustomerLimit limit) {
        long tokens = limit.tokensPerSecond() * headStartMilliseconds / MILLISECONDS_PER_SECOND;
        return Math.min(limit.burstTokens(), tokens);
    }

    /** The most that one router may hold of a customer's burst. */
    public long maxHeldTokens(CustomerLimit limit) {
        return Math.max(1, limit.burstTokens() / holderDivisor);
    }
}
