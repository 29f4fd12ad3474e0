package org.skylarkbend.gateway.front;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The open connections of callers, and how many requests each has under way. */
final class CallerConnections {
    private final Map<HttpConnection, Integer> mRequests = new HashMap<>();

    /** A caller has connected. */
    void opened(HttpConnection connection) {
        mRequests.put(connection, 0);
        connection.closeHandler(nothing -> mRequests.remove(connection));
    }

    /** A request has come. */
    void begun(HttpConnection connection) {
        mRequests.computeIfPresent(connection, (key, requests) -> requests + 1);
    }

    /** A request was answered. */
    void ended(HttpConnection connection) {
        mRequests.computeIfPresent(connection, (key, requests) -> Math.max(0, requests - 1));
    }

    /** Closes all connections on which no request is under way. */
    void closeIdle() {
        for (Map.Entry<HttpConnection, Integer> entry : List.copyOf(mRequests.entrySet())) {
            if (entry.getValue() == 0) {
                entry.getKey().close();
            }
        }
    }
}
