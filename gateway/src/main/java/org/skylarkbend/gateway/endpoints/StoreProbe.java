package org.skylarkbend.gateway.endpoints;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Service.Store;

/**
 * Keeps a connection open to the store of cached prompt parts and reports to the endpoint selector
 * whether the store is reachable, because engines lose time on an unreachable store.
 *
 * <p>It is confined to the task that serves the calls.
 */
public final class StoreProbe {
    private static final StructuredLog LOG = StructuredLog.of(StoreProbe.class);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

    private final EndpointSelector mSelector;
    private final NetClient mClient;
    private Optional<Store> mStore = Optional.empty();
    private Optional<NetSocket> mSocket = Optional.empty();
    private boolean mConnecting;

    /** Creates a probe without a store. */
    public StoreProbe(Vertx vertx, EndpointSelector selector) {
        mSelector = selector;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
    }

    /** Switches to the store of a new catalog. */
    public void changeStore(Optional<Store> store) {
        if (!store.equals(mStore)) {
            mStore = store;
            mSocket.ifPresent(NetSocket::close);
            mSocket = Optional.empty();
            mSelector.setStore(Optional.empty());
            connect();
        }
    }

    /**
     * Connects if no connection is open. To be called periodically, as a failed attempt is not
     * repeated here.
     */
    public void connect() {
        if (mStore.isEmpty() || mSocket.isPresent() || mConnecting) {
            return;
        }
        Store store = mStore.get();
        mConnecting = true;
        mClient.connect(store.port(), store.host())
                .onComplete(
                        attempt -> {
                            mConnecting = false;
                            if (attempt.succeeded()) {
                                connected(store, attempt.result());
                            }
                        });
    }

    private void connected(Store store, NetSocket socket) {
        if (!mStore.equals(Optional.of(store))) {
            socket.close();
            return;
        }
        LOG.info("store.reached", "address", store.address());
        mSocket = Optional.of(socket);
        mSelector.setStore(Optional.of(store.address()));
        socket.handler(ignored -> {});
        socket.closeHandler(ignored -> closed(store, socket));
    }

    private void closed(Store store, NetSocket socket) {
        if (mSocket.equals(Optional.of(socket))) {
            LOG.info("store.closed", "address", store.address());
            mSocket = Optional.empty();
            mSelector.setStore(Optional.empty());
            connect();
        }
    }
}
