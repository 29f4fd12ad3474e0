package org.skylarkbend.gateway.front;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of the calls that arrive before the gateway is initialized.
 *
 * <p>A restarted gateway receives its catalog, endpoints and limits within a moment. Callers whose
 * connections were lost with the previous process reconnect immediately and may have no retry left,
 * so their calls are queued here instead of being refused. It is confined to the task that serves
 * the calls.
 */
final class StartupQueue {
    /** Maximum time in the queue; it covers the election of a leader, with a margin. */
    private static final long MAX_WAIT_MILLISECONDS = 700;

    /** Maximum number of queued calls; about as many as a gateway serves in a second. */
    private static final int MAX_CALLS = 256;

    private final Vertx mVertx;
    private final Map<Long, Runnable> mWaiting = new LinkedHashMap<>();
    private long mLastNumber;

    StartupQueue(Vertx vertx) {
        mVertx = vertx;
    }

    /**
     * Adds a call to the queue if there is room.
     *
     * @param callback run once, when the gateway is initialized or the call has waited long enough
     * @return true if the call was queued
     */
    boolean offer(Runnable callback) {
        if (mWaiting.size() >= MAX_CALLS) {
            return false;
        }
        long number = ++mLastNumber;
        mWaiting.put(number, callback);
        mVertx.setTimer(MAX_WAIT_MILLISECONDS, id -> release(number));
        return true;
    }

    /** Runs all queued calls in order of arrival. */
    void releaseAll() {
        for (Long number : List.copyOf(mWaiting.keySet())) {
            release(number);
        }
    }

    private void release(long number) {
        Runnable callback = mWaiting.remove(number);
        if (callback != null) {
            callback.run();
        }
    }
}
