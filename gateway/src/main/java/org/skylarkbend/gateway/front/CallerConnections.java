package org.skylarkbend.gateway.front;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks the open connections of callers and the number of requests in progress on each. */
final class CallerConnections {
    private final Map<HttpConnection, Integer> mRequests = new HashMap<>();

    /** Adds a new connection. */
    void opened(HttpConnection connection) {
        mRequests.put(connection, 0);
        connection.closeHandler(ignored -> mRequests.remove(connection));
    }

    /** Records the start of a request. */
    void begun(HttpConnection connection) {
        mRequests.computeIfPresent(connection, (key, requests) -> requests + 1);
    }

    /** Records the end of a request. */
    void ended(HttpConnection connection) {
        mRequests.computeIfPresent(connection, (key, requests) -> Math.max(0, requests - 1));
    }

    /** Returns whether a request is in progress on the connection. */
    boolean isServing(HttpConnection connection) {
        return mRequests.getOrDefault(connection, 0) > 0;
    }

    /** Returns whether no request is in progress, which includes the sending of its response. */
    boolean areIdle() {
        return mRequests.values().stream().allMatch(requests -> requests == 0);
    }

    /** Closes all connections without a request in progress. */
    void closeIdle() {
        for (Map.Entry<HttpConnection, Integer> entry : List.copyOf(mRequests.entrySet())) {
            if (entry.getValue() == 0) {
                entry.getKey().close();
            }
        }
    }
}
