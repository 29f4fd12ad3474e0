package org.skylarkbend.gateway.call;

import io.vertx.core.Vertx;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;

/**
 * Timer after which another endpoint is asked because the current one is silent for too long. Only
 * repeatable calls and resumable streams have one. Confined to the task that serves the calls.
 */
final class SilenceTimer {
    /**
     * Timeout between two events of a resumable stream. After it another endpoint is asked to go
     * on. Bytes that complete no event do not count.
     */
    private static final long EVENT_TIMEOUT_MILLISECONDS = 1_500;

    /**
     * Timeout for the first event of a resumable stream. It is longer because an engine may process
     * other prompts first; endpoint probes detect a lost engine sooner.
     */
    private static final long FIRST_EVENT_TIMEOUT_MILLISECONDS = 2_800;

    /**
     * A repeatable call is retried elsewhere after this multiple of the target latency of its
     * route.
     */
    private static final long RETRY_TARGET_MULTIPLE = 3;

    private static final long NO_TIMER = -1;

    private final Vertx mVertx;
    private final Route mRoute;
    private final Runnable mOnSilence;
    private long mTimer = NO_TIMER;

    /** Creates a timer that is not running. */
    SilenceTimer(Vertx vertx, Route route, Runnable onSilence) {
        mVertx = vertx;
        mRoute = route;
        mOnSilence = onSilence;
    }

    /**
     * Starts the timer anew.
     *
     * @param hasEvents true if events of the stream have arrived
     */
    void restart(boolean hasEvents) {
        cancel();
        boolean isStream = mRoute.kind() == CallKind.STREAM;
        if (isStream ? mRoute.resumable() : mRoute.mayRunAgain()) {
            long silenceMilliseconds =
                    isStream
                            ? streamTimeoutMilliseconds(hasEvents)
                            : RETRY_TARGET_MULTIPLE * mRoute.targetMilliseconds();
            mTimer = mVertx.setTimer(Math.max(1, silenceMilliseconds), id -> mOnSilence.run());
        }
    }

    /** Stops the timer. */
    void cancel() {
        mVertx.cancelTimer(mTimer);
        mTimer = NO_TIMER;
    }

    private static long streamTimeoutMilliseconds(boolean hasEvents) {
        return hasEvents ? EVENT_TIMEOUT_MILLISECONDS : FIRST_EVENT_TIMEOUT_MILLISECONDS;
    }
}
