package org.skylarkbend.gateway.endpoints;

import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.Optional;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Service.Store;
import org.skylarkbend.exchange.EndpointDialer;

/**
 * Keeps a connection open to the store of cached prompt parts and reports to the endpoint selector
 * whether the store is reachable, because engines lose time on an unreachable store.
 *
 * <p>The machine of a store can fall silent without closing its connections, so the connection is
 * replaced by a new one from time to time. It is confined to the task that serves the calls.
 */
public final class StoreProbe {
    /**
     * Time after which a connection is replaced: the time for which engines may lose time on a
     * store that fell silent, against 50 connections a second at the store of 95 gateways.
     */
    static final long CHECK_INTERVAL_MILLISECONDS = 2_000;

    private static final StructuredLog LOG = StructuredLog.of(StoreProbe.class);

    private final EndpointSelector mSelector;
    private final MillisecondClock mClock;
    private final EndpointDialer mDialer;
    private Optional<Store> mStore = Optional.empty();
    private Optional<NetSocket> mSocket = Optional.empty();
    private long mReachedMilliseconds;
    private boolean mConnecting;

    /**
     * Creates a probe without a store.
     *
     * @param dialer opens the connections
     * @param selector knows whether the store is reachable
     * @param clock monotonic clock
     */
    public StoreProbe(EndpointDialer dialer, EndpointSelector selector, MillisecondClock clock) {
        mDialer = dialer;
        mSelector = selector;
        mClock = clock;
    }

    /** Switches to the store of a new catalog. */
    public void changeStore(Optional<Store> store) {
        if (!store.equals(mStore)) {
            mStore = store;
            forget();
            connect();
        }
    }

    /**
     * Connects if no connection is open or the open one is due for a check. To be called
     * periodically, as a failed attempt is not repeated here.
     */
    public void connect() {
        if (mStore.isEmpty() || mConnecting || mSocket.isPresent() && !isCheckDue()) {
            return;
        }
        Store store = mStore.get();
        mConnecting = true;
        mDialer.dial(SocketAddress.inetSocketAddress(store.port(), store.host()))
                .onComplete(
                        attempt -> {
                            mConnecting = false;
                            if (attempt.succeeded()) {
                                connected(store, attempt.result());
                            } else {
                                failed(store, attempt.cause());
                            }
                        });
    }

    private boolean isCheckDue() {
        return mClock.nowMilliseconds() - mReachedMilliseconds >= CHECK_INTERVAL_MILLISECONDS;
    }

    private void connected(Store store, NetSocket socket) {
        if (!mStore.equals(Optional.of(store))) {
            socket.close();
            return;
        }
        if (mSocket.isEmpty()) {
            LOG.info("store.reached", "address", store.address());
        }
        Optional<NetSocket> previous = mSocket;
        mSocket = Optional.of(socket);
        mReachedMilliseconds = mClock.nowMilliseconds();
        mSelector.setStore(new ReachedStore(Optional.of(store.address()), mReachedMilliseconds));
        socket.handler(ignored -> {});
        socket.closeHandler(ignored -> closed(store, socket));
        previous.ifPresent(NetSocket::close);
    }

    private void failed(Store store, Throwable cause) {
        if (mStore.equals(Optional.of(store)) && mSocket.isPresent()) {
            LOG.warn("store.lost", "address", store.address(), "cause", cause.getMessage());
            forget();
        }
    }

    private void closed(Store store, NetSocket socket) {
        if (mSocket.equals(Optional.of(socket))) {
            LOG.info("store.closed", "address", store.address());
            forget();
            connect();
        }
    }

    private void forget() {
        Optional<NetSocket> socket = mSocket;
        mSocket = Optional.empty();
        mSelector.setStore(ReachedStore.none());
        socket.ifPresent(NetSocket::close);
    }
}
