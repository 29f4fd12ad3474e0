package org.skylarkbend.gateway.call;

/**
 * Lets a call wait in the gateway until an endpoint of its brittle service has room. Such endpoints
 * must not be sent calls that they may have to refuse. Confined to the task that serves the calls.
 */
final class RoomWait {
    /**
     * Longest wait: two sums of the work of all gateways, after which another slot may be free, on
     * a site of some ten gateways.
     */
    static final long MAX_MILLISECONDS = 300;

    private static final long RETRY_MILLISECONDS = 10;
    private static final long NO_TIMER = -1;

    private final CallRequest mCall;
    private final CallResources mResources;
    private final Runnable mRetry;
    private long mTimer = NO_TIMER;
    private long mUntilMilliseconds = Long.MAX_VALUE;

    /**
     * Creates the wait of a call that does not wait yet.
     *
     * @param call the call
     * @param resources resources shared by all calls
     * @param retry selects an endpoint again
     */
    RoomWait(CallRequest call, CallResources resources, Runnable retry) {
        mCall = call;
        mResources = resources;
        mRetry = retry;
    }

    /** Returns whether the call waits for room now, after which an endpoint is selected again. */
    boolean begin() {
        long nowMilliseconds = mResources.clock().nowMilliseconds();
        if (!mResources.selector().brittleServices().isBrittle(mCall.service(), nowMilliseconds)) {
            return false;
        }
        if (mUntilMilliseconds == Long.MAX_VALUE) {
            mResources.metrics().counter("gateway_calls_waited_for_room").inc();
            mUntilMilliseconds =
                    Math.min(nowMilliseconds + MAX_MILLISECONDS, mCall.deadlineMilliseconds());
        }
        if (nowMilliseconds >= mUntilMilliseconds) {
            return false;
        }
        mTimer = mResources.vertx().setTimer(RETRY_MILLISECONDS, id -> mRetry.run());
        return true;
    }

    /** Ends the wait without a selection. */
    void cancel() {
        mResources.vertx().cancelTimer(mTimer);
        mTimer = NO_TIMER;
    }
}
