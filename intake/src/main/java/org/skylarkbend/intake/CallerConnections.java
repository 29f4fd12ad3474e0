package org.skylarkbend.intake;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
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

    private final String mName;
    private final CallerMemory mMemory;
    private final int mMaxConnections;
    private final Consumer<HttpConnection> mOnClosed;
    private final Counter mClosed;
    private final Counter mRefused;

    /** Connections that were used last come last. */
    private final Map<HttpConnection, Caller> mCallers = new LinkedHashMap<>();

    /** State of a connection. */
    private static final class Caller {
        private final ReceiveMemory mReceiveMemory;
        private boolean mServing;
        private boolean mWasUsed;

        Caller(ReceiveMemory memory) {
            mReceiveMemory = memory;
        }

        boolean isIdle() {
            return !mServing;
        }

        boolean isUnused() {
            return !mServing && !mWasUsed;
        }
    }

    /**
     * Creates a record without connections.
     *
     * @param name name of the server, for logs and metrics
     * @param memory memory for what callers send
     * @param maxConnections number of connections that are kept
     * @param onClosed receives each connection once it is closed and its request has ended
     * @param metrics registry of the metrics {@code NAME_connections_closed} and {@code
     *     NAME_connections_refused}
     */
    public CallerConnections(
            String name,
            CallerMemory memory,
            int maxConnections,
            Consumer<HttpConnection> onClosed,
            MetricRegistry metrics) {
        mName = name;
        mMemory = memory;
        mMaxConnections = maxConnections;
        mOnClosed = onClosed;
        mClosed = metrics.counter(name + "_connections_closed");
        mRefused = metrics.counter(name + "_connections_refused");
        memory.onAbort(this::abort);
    }

    /**
     * Adds a new connection. If there are too many, one on which no request is in progress is
     * closed: the oldest one without any request so far, else the one that has been idle for the
     * longest time, else the oldest one with a stalled request. If there is none of these, the new
     * one is closed.
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
        boolean hasRoom = mCallers.size() < mMaxConnections || makeRoom();
        mCallers.put(connection, new Caller(memory));
        connection.closeHandler(
                ignored -> {
                    closed(connection);
                    mOnClosed.accept(connection);
                });
        if (!hasRoom) {
            LOG.info("caller.refused", "server", mName, "peer", connection.remoteAddress());
            mRefused.inc();
            abort(connection);
        }
        return new RequestDecoder.Limits(
                headMilliseconds, unreadMilliseconds, () -> isServing(connection), memory);
    }

    private boolean makeRoom() {
        Optional<HttpConnection> idle = first(Caller::isUnused).or(() -> first(Caller::isIdle));
        idle.ifPresent(
                connection -> {
                    LOG.info(
                            "caller.idle.closed",
                            "server",
                            mName,
                            "peer",
                            connection.remoteAddress(),
                            "connections",
                            mCallers.size());
                    mClosed.inc();
                    abort(connection);
                });
        return idle.isPresent() || mMemory.giveUpStalled();
    }

    private Optional<HttpConnection> first(Predicate<Caller> condition) {
        return mCallers.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void closed(HttpConnection connection) {
        Caller caller = mCallers.remove(connection);
        if (caller != null) {
            caller.mReceiveMemory.releaseAll();
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
            caller.mWasUsed = true;
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
