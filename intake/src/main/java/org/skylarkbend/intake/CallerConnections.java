package org.skylarkbend.intake;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.ReceiveMemory;
import org.skylarkbend.wire.RefusedBody;
import org.skylarkbend.wire.RequestDecoder;

/**
 * Tracks the open connections of callers, up to a limit, and the request in progress on each.
 * Confined to the task that serves the calls.
 */
public final class CallerConnections {
    private static final StructuredLog LOG = StructuredLog.of(CallerConnections.class);

    private final CallerMemory mMemory;
    private final int mMaxConnections;
    private final Consumer<HttpConnection> mOnClosed;

    /** Connections that were used last come last. */
    private final Map<HttpConnection, Caller> mCallers = new LinkedHashMap<>();

    /** State of a connection. */
    private static final class Caller {
        private final ReceiveMemory mReceiveMemory;
        private boolean mServing;

        Caller(ReceiveMemory memory) {
            mReceiveMemory = memory;
        }

        boolean isIdle() {
            return !mServing;
        }
    }

    /**
     * Creates a record without connections.
     *
     * @param memory memory for what callers send
     * @param maxConnections number of connections that are kept
     * @param onClosed receives each connection that is closed
     */
    public CallerConnections(
            CallerMemory memory, int maxConnections, Consumer<HttpConnection> onClosed) {
        mMemory = memory;
        mMaxConnections = maxConnections;
        mOnClosed = onClosed;
        memory.onAbort(this::abort);
    }

    /**
     * Adds a new connection. If there are too many, the one that has been idle for the longest time
     * is closed.
     *
     * @param connection the connection
     * @param headMilliseconds returns the time in which a head must be complete
     * @param unreadMilliseconds returns the time in which a caller must read some of a response
     * @return the limits on the connection
     */
    public RequestDecoder.Limits opened(
            HttpConnection connection,
            LongSupplier headMilliseconds,
            LongSupplier unreadMilliseconds) {
        ReceiveMemory memory = mMemory.newConnection(() -> abort(connection));
        if (mCallers.size() >= mMaxConnections) {
            closeLongestIdle();
        }
        mCallers.put(connection, new Caller(memory));
        connection.closeHandler(ignored -> closed(connection));
        return new RequestDecoder.Limits(
                headMilliseconds, unreadMilliseconds, () -> isServing(connection), memory);
    }

    private void closeLongestIdle() {
        Optional<HttpConnection> idle =
                mCallers.entrySet().stream()
                        .filter(entry -> entry.getValue().isIdle())
                        .map(Map.Entry::getKey)
                        .findFirst();
        idle.ifPresent(
                connection -> {
                    LOG.info("caller.idle.closed", "connections", mCallers.size());
                    connection.close();
                });
    }

    private void closed(HttpConnection connection) {
        Caller caller = mCallers.remove(connection);
        if (caller != null) {
            caller.mReceiveMemory.releaseAll();
            mOnClosed.accept(connection);
        }
    }

    private void abort(HttpServerRequest request) {
        abort(request.connection());
        // The connection refers to the request until the loop has read all others.
        request.headers().clear();
    }

    private void abort(HttpConnection connection) {
        closed(connection);
        RefusedBody.abort(connection);
    }

    /** Records the start of a request. */
    public void begun(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        Caller caller = mCallers.get(connection);
        if (caller != null) {
            caller.mServing = true;
            request.response().endHandler(ignored -> ended(connection));
        }
    }

    private void ended(HttpConnection connection) {
        Caller caller = mCallers.remove(connection);
        if (caller != null) {
            caller.mServing = false;
            mCallers.put(connection, caller);
        }
    }

    /** Returns whether a request is in progress on the connection. */
    public boolean isServing(HttpConnection connection) {
        Caller caller = mCallers.get(connection);
        return caller != null && caller.mServing;
    }

    /** Returns whether no request is in progress, which includes the sending of its response. */
    public boolean areIdle() {
        return mCallers.values().stream().allMatch(Caller::isIdle);
    }

    /** Closes all connections without a request in progress. */
    public void closeIdle() {
        for (HttpConnection connection : List.copyOf(mCallers.keySet())) {
            if (!isServing(connection)) {
                connection.close();
            }
        }
    }
}
