package org.skylarkbend.gateway.endpoints;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;

/**
 * Detects lost endpoints by opening a TCP connection to each silent one.
 *
 * <p>It is confined to the task that serves the calls.
 */
public final class EndpointProbes {
    private static final StructuredLog LOG = StructuredLog.of(EndpointProbes.class);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

    private final EndpointSelector mSelector;
    private final MillisecondClock mClock;
    private final Listener mListener;
    private final NetClient mClient;
    private final Set<String> mProbingIncarnations = new HashSet<>();
    private final Set<String> mLostIncarnations = new HashSet<>();

    /** Receives the results of probes. */
    public interface Listener {
        /** Called when an endpoint has accepted a connection. */
        void reached(Endpoint endpoint);

        /** Called when an endpoint has accepted no connection. */
        void lost(Endpoint endpoint);
    }

    /**
     * Creates the prober. It opens no connection until {@link #probe} is called.
     *
     * @param vertx opens the connections
     * @param selector tracks which endpoints are silent
     * @param clock monotonic clock
     * @param listener receives the results
     */
    public EndpointProbes(
            Vertx vertx, EndpointSelector selector, MillisecondClock clock, Listener listener) {
        mSelector = selector;
        mClock = clock;
        mListener = listener;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
    }

    /** Opens a connection to each silent endpoint that is not being probed already. */
    public void probe() {
        mSelector.endpointsToProbe(mClock.nowMilliseconds()).forEach(this::probe);
    }

    /** Opens a connection to an endpoint unless it is being probed already. */
    public void probe(Endpoint endpoint) {
        if (mProbingIncarnations.add(endpoint.incarnation())) {
            mClient.connect(endpoint.port(), endpoint.host())
                    .onSuccess(socket -> reached(endpoint, socket))
                    .onFailure(e -> lost(endpoint));
        }
    }

    private void reached(Endpoint endpoint, NetSocket socket) {
        socket.close();
        mProbingIncarnations.remove(endpoint.incarnation());
        mSelector.responded(endpoint, mClock.nowMilliseconds());
        mListener.reached(endpoint);
        if (mLostIncarnations.remove(endpoint.incarnation())) {
            LOG.info("endpoint.regained", "endpoint", endpoint.incarnation());
        }
    }

    private void lost(Endpoint endpoint) {
        mProbingIncarnations.remove(endpoint.incarnation());
        mSelector.unreachable(endpoint);
        if (mLostIncarnations.add(endpoint.incarnation())) {
            LOG.warn("endpoint.lost", "endpoint", endpoint.incarnation());
        }
        mListener.lost(endpoint);
    }
}
