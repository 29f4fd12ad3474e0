package org.skylarkbend.gateway.endpoints;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;

/**
 * Finds endpoints that have gone silent for good: opens a connection to each one that is quiet.
 *
 * <p>It belongs to the task that serves the calls.
 */
public final class EndpointProbes {
    private static final StructuredLog LOG = StructuredLog.of(EndpointProbes.class);
    private static final int CONNECT_MILLISECONDS = 300;

    private final EndpointBoard mBoard;
    private final MillisecondClock mClock;
    private final Consumer<Endpoint> mOnLost;
    private final NetClient mClient;
    private final Set<String> mProbing = new HashSet<>();
    private final Set<String> mLost = new HashSet<>();

    /**
     * Probes that open no connection until they are asked to.
     *
     * @param vertx opens the connections
     * @param board knows which endpoints are quiet
     * @param clock a clock that never steps back
     * @param onLost told of an endpoint that takes no connection
     */
    public EndpointProbes(
            Vertx vertx, EndpointBoard board, MillisecondClock clock, Consumer<Endpoint> onLost) {
        mBoard = board;
        mClock = clock;
        mOnLost = onLost;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_MILLISECONDS));
    }

    /** Opens a connection to each endpoint that is quiet. */
    public void probe() {
        for (Endpoint endpoint : mBoard.quiet(mClock.nowMilliseconds())) {
            if (mProbing.add(endpoint.incarnation())) {
                mClient.connect(endpoint.port(), endpoint.host())
                        .onSuccess(socket -> reached(endpoint, socket))
                        .onFailure(e -> lost(endpoint));
            }
        }
    }

    private void reached(Endpoint endpoint, NetSocket socket) {
        socket.close();
        mProbing.remove(endpoint.incarnation());
        mBoard.heard(endpoint, mClock.nowMilliseconds());
        if (mLost.remove(endpoint.incarnation())) {
            LOG.info("endpoint.regained", "endpoint", endpoint.incarnation());
        }
    }

    private void lost(Endpoint endpoint) {
        mProbing.remove(endpoint.incarnation());
        mBoard.unreachable(endpoint);
        if (mLost.add(endpoint.incarnation())) {
            LOG.warn("endpoint.lost", "endpoint", endpoint.incarnation());
        }
        mOnLost.accept(endpoint);
    }
}
