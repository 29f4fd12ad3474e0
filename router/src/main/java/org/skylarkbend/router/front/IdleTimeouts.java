package org.skylarkbend.router.front;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.Map;
import org.skylarkbend.router.RouterBounds.CallerBounds;

/**
 * Closes callers' connections that have been idle for too long. A connection on which the headers
 * of a request are incomplete counts as idle.
 */
final class IdleTimeouts {
    private final Vertx mVertx;
    private final CallerBounds mBounds;
    private final Map<HttpConnection, Long> mTimerIds = new HashMap<>();

    IdleTimeouts(Vertx vertx, CallerBounds bounds) {
        mVertx = vertx;
        mBounds = bounds;
    }

    void opened(HttpConnection connection) {
        startTimer(connection, mBounds.requestReadMilliseconds());
    }

    void closed(HttpConnection connection) {
        cancel(connection);
    }

    void requestStarted(HttpConnection connection) {
        cancel(connection);
    }

    void requestEnded(HttpConnection connection) {
        startTimer(connection, mBounds.idleConnectionMilliseconds());
    }

    private void startTimer(HttpConnection connection, long milliseconds) {
        cancel(connection);
        mTimerIds.put(connection, mVertx.setTimer(milliseconds, id -> connection.close()));
    }

    private void cancel(HttpConnection connection) {
        Long timerId = mTimerIds.remove(connection);
        if (timerId != null) {
            mVertx.cancelTimer(timerId);
        }
    }
}
