package org.skylarkbend.exchange;

import com.codahale.metrics.Counter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;

/** The connections to one endpoint, and the exchanges that wait for one of them. */
final class ConnectionPool {
    private final Vertx mVertx;
    private final EndpointDialer mDialer;
    private final SocketAddress mEndpoint;
    private final ExchangeOptions mOptions;
    private final MillisecondClock mClock;
    private final Counter mStrayReceptions;
    private final Consumer<SocketAddress> mOnEmpty;
    private final Set<EndpointConnection> mOpen = new HashSet<>();
    private final Deque<EndpointConnection> mFree = new ArrayDeque<>();
    private final Map<Exchange, Long> mWaitingTimers = new LinkedHashMap<>();
    private int mConnecting;

    /**
     * Creates a pool without connections.
     *
     * @param vertx sets the timers
     * @param dialer opens the connections
     * @param endpoint address of the endpoint
     * @param options bounds of the connections
     * @param clock monotonic clock
     * @param strayReceptions counts receptions of bytes that belong to no response
     * @param onEmpty called with the address when there is neither a connection nor an exchange
     */
    ConnectionPool(
            Vertx vertx,
            EndpointDialer dialer,
            SocketAddress endpoint,
            ExchangeOptions options,
            MillisecondClock clock,
            Counter strayReceptions,
            Consumer<SocketAddress> onEmpty) {
        mVertx = vertx;
        mDialer = dialer;
        mEndpoint = endpoint;
        mOptions = options;
        mClock = clock;
        mStrayReceptions = strayReceptions;
        mOnEmpty = onEmpty;
    }

    /** Sends the request of an exchange on a free or a new connection. */
    void submit(Exchange exchange) {
        while (!mFree.isEmpty()) {
            EndpointConnection free = mFree.pop();
            if (free.isUsableAt(mClock.nowMilliseconds())) {
                if (!free.serve(exchange)) {
                    free(free);
                }
                return;
            }
            free.close();
        }
        long timer =
                mVertx.setTimer(
                        mOptions.connectTimeoutMilliseconds(),
                        id -> fail(exchange, "there was no connection in time"));
        mWaitingTimers.put(exchange, timer);
        exchange.onCancel(() -> stopWaiting(exchange));
        connectIfNeeded();
    }

    /** Closes the connections that have not been used for too long. */
    void closeExpired() {
        long nowMilliseconds = mClock.nowMilliseconds();
        for (EndpointConnection connection : List.copyOf(mFree)) {
            if (!connection.isUsableAt(nowMilliseconds)) {
                mFree.remove(connection);
                connection.close();
            }
        }
    }

    /** Closes all connections as soon as they are free. */
    void retire() {
        List.copyOf(mOpen).forEach(EndpointConnection::retire);
        for (EndpointConnection connection : List.copyOf(mFree)) {
            mFree.remove(connection);
            connection.close();
        }
    }

    private void connectIfNeeded() {
        while (mConnecting < mWaitingTimers.size()
                && mOpen.size() + mConnecting < mOptions.maxConnectionsPerEndpoint()) {
            mConnecting++;
            dial().onSuccess(this::connected).onFailure(this::notConnected);
        }
    }

    /** An exception of the dialer is a failed connection, so that its place becomes free. */
    private Future<NetSocket> dial() {
        try {
            return mDialer.dial(mEndpoint);
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }

    private void connected(NetSocket socket) {
        mConnecting--;
        EndpointConnection connection =
                new EndpointConnection(
                        (NetSocketInternal) socket,
                        mOptions,
                        mClock,
                        mStrayReceptions,
                        this::free,
                        this::closed);
        mOpen.add(connection);
        free(connection);
    }

    /** Fails the first waiting exchange, unless a connection is being opened for each of them. */
    private void notConnected(Throwable failure) {
        mConnecting--;
        if (mWaitingTimers.size() > mConnecting) {
            firstWaiting()
                    .ifPresent(exchange -> fail(exchange, String.valueOf(failure.getMessage())));
        }
        connectIfNeeded();
        removeIfEmpty();
    }

    private Optional<Exchange> firstWaiting() {
        Iterator<Exchange> waiting = mWaitingTimers.keySet().iterator();
        return waiting.hasNext() ? Optional.of(waiting.next()) : Optional.empty();
    }

    private void fail(Exchange exchange, String cause) {
        stopWaiting(exchange);
        exchange.deliver(new ExchangeEvent.NotConnected(cause));
    }

    private void stopWaiting(Exchange exchange) {
        Long timer = mWaitingTimers.remove(exchange);
        if (timer != null) {
            mVertx.cancelTimer(timer);
        }
    }

    /** Sends the next request on a free connection, or keeps the connection. */
    private void free(EndpointConnection connection) {
        Optional<Exchange> next = firstWaiting();
        while (next.isPresent()) {
            stopWaiting(next.get());
            if (connection.serve(next.get())) {
                return;
            }
            next = firstWaiting();
        }
        mFree.push(connection);
    }

    private void closed(EndpointConnection connection) {
        mOpen.remove(connection);
        mFree.remove(connection);
        connectIfNeeded();
        removeIfEmpty();
    }

    private void removeIfEmpty() {
        if (mOpen.size() + mConnecting == 0 && mWaitingTimers.isEmpty()) {
            mOnEmpty.accept(mEndpoint);
        }
    }
}
