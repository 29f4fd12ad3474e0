package org.skylarkbend.router.front;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.Map;
import org.skylarkbend.router.RouterBounds;

/**
 * Closes callers' connections that have been idle for too long. A connection on which the headers
 * of a request are incomplete counts as idle.
 */
final class IdleTimeouts {
    private final Vertx mVertx;
    private final RouterBounds mBounds;
    private final Map<HttpConnection, Long> mTimerIds = new HashMap<>();

    IdleTimeouts(Vertx vertx, RouterBounds bounds) {
        mVertx = vertx;
        mBounds = bounds;
    }

    void opened(HttpConnection connection) {
        startTimer(connection, mBounds.requestReadMilliseconds());
        connection.closeHandler(ignored -> cancel(connection));
    }

    /** Returns whether a request is in progress on the connection. */
    boolean isServing(HttpConnection connection) {
        return !mTimerIds.containsKey(connection);
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
