package org.skylarkbend.limits;

/**
 * Parameters by which the owner and the routers share a bucket. Both sides must use the same
 * policy.
 *
 * @param holderDivisor one router holds at most the burst divided by this, including tokens in use
 * @param prefetchMilliseconds the time for which a router requests tokens in advance
 * @param reserveDivisor a router with recent use keeps at least the burst divided by this available
 * @param reportMilliseconds the minimum time between two reports of a router
 * @param idleReportMilliseconds the time after which a router reports in any case
 * @param waitMilliseconds the maximum time for which a call waits for tokens
 * @param maxWaitingCalls the maximum number of waiting calls of a customer at one router
 * @param endpointStopMilliseconds the time within which endpoints stop work for a router that died
 * @param initialFillMilliseconds the time whose tokens the bucket of a new owner holds initially at
 *     least; no owner can have existed during it; 0 if the bucket begins empty
 * @param unreportedDivisor all routers that have not reported to a new owner count together as
 *     holding at most the burst divided by this
 * @param ownerlessWaitMilliseconds the maximum time for which a call waits for tokens while no
 *     owner responds
 * @param lapseMilliseconds the time without a confirmed report after which a router gives up its
 *     free tokens; 0 if they never lapse, which is necessary where calls use reserved tokens later
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
        long initialFillMilliseconds,
        long unreportedDivisor,
        long ownerlessWaitMilliseconds,
        long lapseMilliseconds) {
    /** Largest jump of the time of day, by which a router may underestimate a suspension. */
    private static final long MAX_CLOCK_JUMP_MILLISECONDS = 5_000;

    /** Time within which a call that a router is admitting reaches its endpoint. */
    private static final long ADMISSION_MILLISECONDS = 1_000;

    /**
     * Minimum time between the loss of a leader and the next election; see {@code
     * AgreementOptions#lowLatency}.
     */
    private static final long MIN_LEADERLESS_MILLISECONDS = 300;

    /** As many calls as callers can have in progress at a router at once, with a call each. */
    private static final int MAX_WAITING_CALLS = 2_000;

    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /**
     * Returns the policy of the router and control programs. A call waits up to a second while no
     * owner responds, which is the time of an election and of its first grants.
     */
    public static LimitPolicy standard() {
        return new LimitPolicy(
                4, 200, 64, 20, 1_000, 300, MAX_WAITING_CALLS, 30_000, 0, 1, 1_000, 0);
    }

    /**
     * Returns the policy of sites whose gateways count a call when they send it. A prompt may
     * exceed a quarter of the burst, hence the divisor of 3. A refusal is due within an eighth of
     * the response target of 0.8 s, hence the wait of 100 ms; while no owner responds, a call waits
     * half of the target, in which a leader is usually replaced. Calls of a gateway that died need
     * not be counted again.
     *
     * <p>The many gateways of a large site hold few tokens each, so that those which are down when
     * the owner changes do not count with the maximum each. Free tokens lapse after eight idle
     * report intervals without a confirmed report.
     */
    public static LimitPolicy forGateways() {
        return new LimitPolicy(
                3,
                1_000,
                64,
                30,
                1_000,
                100,
                MAX_WAITING_CALLS,
                0,
                MIN_LEADERLESS_MILLISECONDS,
                4,
                400,
                8_000);
    }

    /** Returns whether a router gives up free tokens that no owner has confirmed for a time. */
    boolean tokensLapse() {
        return lapseMilliseconds > 0;
    }

    /**
     * Returns the time without a report after which an owner no longer counts the tokens of a
     * router. The router has given them up by then, even if it was suspended and the time of day
     * was set back meanwhile.
     */
    long reclaimMilliseconds() {
        return lapseMilliseconds + MAX_CLOCK_JUMP_MILLISECONDS + ADMISSION_MILLISECONDS;
    }

    /** Returns the initial level of the bucket of a new owner. */
    long initialTokens(CustomerLimit limit) {
        return initialTokens(limit, 0);
    }

    /**
     * Returns the initial level of the bucket of a new owner.
     *
     * @param limit the limit of the customer
     * @param ownerlessMilliseconds the time before the owner's election during which there can have
     *     been no other
     */
    long initialTokens(CustomerLimit limit, long ownerlessMilliseconds) {
        long milliseconds =
                initialFillMilliseconds == 0
                        ? 0
                        : Math.max(initialFillMilliseconds, ownerlessMilliseconds);
        double tokens = (double) limit.tokensPerSecond() * milliseconds / MILLISECONDS_PER_SECOND;
        return (long) Math.min(limit.burstTokens(), tokens);
    }

    /** Returns the maximum number of tokens that unreported routers hold together of a customer. */
    long unreportedTokens(CustomerLimit limit, long unreportedRouters) {
        return Math.min(unreportedRouters * maxHeldTokens(limit), maxUnreportedTokens(limit));
    }

    /** Returns the limit on the tokens of a customer that are granted in advance to all routers. */
    long maxUnreportedTokens(CustomerLimit limit) {
        return limit.burstTokens() / unreportedDivisor;
    }

    /** Returns the maximum number of tokens that one router may hold of a customer. */
    public long maxHeldTokens(CustomerLimit limit) {
        return Math.max(1, limit.burstTokens() / holderDivisor);
    }
}
