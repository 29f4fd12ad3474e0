package org.skylarkbend.gateway.front;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls that came before this gateway knew what to serve by.
 *
 * <p>A gateway that restarts knows its catalog, endpoints and limits within a moment. Callers whose
 * connections broke with the process before come back at once and may have no further try, so they
 * wait here for that moment. It belongs to the task that serves the calls.
 */
final class EarlyCalls {
    /** How long a call waits at most: as long as control takes to elect a leader, and a margin. */
    private static final long WAIT_MILLISECONDS = 700;

    /** More calls than this are not kept; a gateway serves about as many in a second. */
    private static final int MOST_CALLS = 256;

    private final Vertx mVertx;
    private final Map<Long, Runnable> mWaiting = new LinkedHashMap<>();
    private long mLastNumber;

    EarlyCalls(Vertx vertx) {
        mVertx = vertx;
    }

    /**
     * Keeps a call, if there is room.
     *
     * @param go told once, when the gateway is ready or the call has waited long enough
     * @return whether it was kept
     */
    boolean keep(Runnable go) {
        if (mWaiting.size() >= MOST_CALLS) {
            return false;
        }
        long number = ++mLastNumber;
        mWaiting.put(number, go);
        mVertx.setTimer(WAIT_MILLISECONDS, id -> release(number));
        return true;
    }

    /** The gateway is ready: all calls go on, in the order in which they came. */
    void releaseAll() {
        for (Long number : List.copyOf(mWaiting.keySet())) {
            release(number);
        }
    }

    private void release(long number) {
        Runnable go = mWaiting.remove(number);
        if (go != null) {
            go.run();
        }
    }
}
