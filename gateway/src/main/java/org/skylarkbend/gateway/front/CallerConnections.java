package org.skylarkbend.gateway.front;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.RefusedBody;
import org.skylarkbend.wire.RequestDecoder;

/**
 * Tracks the open connections of callers and the requests in progress on each, with the memory of
 * their heads. Confined to the task that serves the calls.
 */
final class CallerConnections {
    private static final StructuredLog LOG = StructuredLog.of(CallerConnections.class);

    private final CallerMemory mMemory;
    private final int mMaxConnections;

    /**
     * Bytes of the heads of the requests in progress on each connection, in their order.
     * Connections that were used last come last.
     */
    private final Map<HttpConnection, Deque<Long>> mHeadBytes = new LinkedHashMap<>();

    CallerConnections(CallerMemory memory, int maxConnections) {
        mMemory = memory;
        mMaxConnections = maxConnections;
        memory.onAbort(this::abort);
    }

    /**
     * Adds a new connection. If there are too many, the one that has been idle for the longest time
     * is closed.
     *
     * @param connection the connection
     * @param headMilliseconds returns the time in which a head must be complete
     * @return the limits on the connection
     */
    RequestDecoder.Limits opened(HttpConnection connection, LongSupplier headMilliseconds) {
        if (mHeadBytes.size() >= mMaxConnections) {
            closeLongestIdle();
        }
        mHeadBytes.put(connection, new ArrayDeque<>());
        connection.closeHandler(ignored -> closed(connection));
        return new RequestDecoder.Limits(
                headMilliseconds,
                () -> CallerServer.IDLE_TIMEOUT_MILLISECONDS,
                () -> isServing(connection),
                mMemory.newHead());
    }

    private void closeLongestIdle() {
        Optional<HttpConnection> idle =
                mHeadBytes.entrySet().stream()
                        .filter(entry -> entry.getValue().isEmpty())
                        .map(Map.Entry::getKey)
                        .findFirst();
        idle.ifPresent(
                connection -> {
                    LOG.info("caller.idle.closed", "connections", mHeadBytes.size());
                    connection.close();
                });
    }

    private void closed(HttpConnection connection) {
        Deque<Long> heads = mHeadBytes.remove(connection);
        if (heads != null) {
            heads.forEach(mMemory::releaseHead);
        }
    }

    /**
     * Records the start of a request. Closes its connection and returns false if there is no memory
     * for its head.
     */
    boolean begun(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        Deque<Long> heads = mHeadBytes.get(connection);
        if (heads == null) {
            return true;
        }
        long bytes = CallerMemory.bytesOf(request.headers());
        boolean hasMemory = mMemory.takeHead(bytes);
        if (!hasMemory) {
            LOG.info("request.head.no_memory", "bytes", bytes);
            abort(request);
            return false;
        }
        heads.add(bytes);
        request.response().endHandler(ignored -> ended(connection));
        return true;
    }

    private void abort(HttpServerRequest request) {
        closed(request.connection());
        RefusedBody.abort(request.connection());
        // The connection refers to the request until the loop has read all others.
        request.headers().clear();
    }

    private void ended(HttpConnection connection) {
        Deque<Long> heads = mHeadBytes.remove(connection);
        if (heads != null) {
            mHeadBytes.put(connection, heads);
            if (!heads.isEmpty()) {
                mMemory.releaseHead(heads.poll());
            }
        }
    }

    /** Returns whether a request is in progress on the connection. */
    boolean isServing(HttpConnection connection) {
        Deque<Long> heads = mHeadBytes.get(connection);
        return heads != null && !heads.isEmpty();
    }

    /** Returns whether no request is in progress, which includes the sending of its response. */
    boolean areIdle() {
        return mHeadBytes.values().stream().allMatch(Deque::isEmpty);
    }

    /** Closes all connections without a request in progress. */
    void closeIdle() {
        for (HttpConnection connection : List.copyOf(mHeadBytes.keySet())) {
            if (!isServing(connection)) {
                connection.close();
            }
        }
    }
}
