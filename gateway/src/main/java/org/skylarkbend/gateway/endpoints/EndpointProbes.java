package org.skylarkbend.gateway.endpoints;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
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

    private final EndpointSelector mSelector;
    private final MillisecondClock mClock;
    private final Listener mListener;
    private final Function<SocketAddress, Future<Boolean>> mCheck;
    private final Set<String> mProbingIncarnations = new HashSet<>();
    private final Set<String> mLostIncarnations = new HashSet<>();

    /** Receives the results of probes. */
    public interface Listener {
        /** Called when an endpoint has accepted a connection. */
        void reached(Endpoint endpoint);

        /** Called when an endpoint has accepted no connection. */
        void lost(Endpoint endpoint);

        /** Called when an endpoint accepts connections, but older ones may hang. */
        void connectionsHang(Endpoint endpoint);
    }

    /**
     * Creates the prober. It opens no connection until {@link #probe} is called.
     *
     * @param check opens and closes a connection; the result is false if older ones may hang
     * @param selector tracks which endpoints are silent
     * @param clock monotonic clock
     * @param listener receives the results
     */
    public EndpointProbes(
            Function<SocketAddress, Future<Boolean>> check,
            EndpointSelector selector,
            MillisecondClock clock,
            Listener listener) {
        mCheck = check;
        mSelector = selector;
        mClock = clock;
        mListener = listener;
    }

    /** Opens a connection to each silent endpoint that is not being probed already. */
    public void probe() {
        mSelector.endpointsToProbe(mClock.nowMilliseconds()).forEach(this::probe);
    }

    /** Opens a connection to an endpoint unless it is being probed already. */
    public void probe(Endpoint endpoint) {
        if (mProbingIncarnations.add(endpoint.incarnation())) {
            mCheck.apply(SocketAddress.inetSocketAddress(endpoint.port(), endpoint.host()))
                    .onSuccess(areConnectionsSound -> reached(endpoint, areConnectionsSound))
                    .onFailure(e -> lost(endpoint));
        }
    }

    private void reached(Endpoint endpoint, boolean areConnectionsSound) {
        mProbingIncarnations.remove(endpoint.incarnation());
        mSelector.responded(endpoint, mClock.nowMilliseconds());
        mListener.reached(endpoint);
        if (mLostIncarnations.remove(endpoint.incarnation())) {
            LOG.info("endpoint.regained", "endpoint", endpoint.incarnation());
        }
        if (!areConnectionsSound) {
            mListener.connectionsHang(endpoint);
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
