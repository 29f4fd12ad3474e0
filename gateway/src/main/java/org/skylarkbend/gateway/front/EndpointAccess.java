package org.skylarkbend.gateway.front;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.catalog.Service.Store;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.exchange.ExchangeOptions;
import org.skylarkbend.gateway.GatewaySettings;
import org.skylarkbend.gateway.endpoints.EndpointProbes;
import org.skylarkbend.gateway.endpoints.EndpointSelector;
import org.skylarkbend.gateway.endpoints.StoreProbe;
import org.skylarkbend.gateway.relay.EndpointReach;

/**
 * The connections of a gateway to endpoints and to the store, and the checks of them. Confined to
 * the task that serves the calls.
 */
public final class EndpointAccess {
    /** Maximum time until there is a connection for a call. */
    public static final long CONNECT_TIMEOUT_MILLISECONDS = 250;

    /** Maximum number of connections of a gateway to an endpoint. */
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 64;

    /** Endpoints that announce no keep-alive timeout close idle connections after some seconds. */
    private static final long KEEP_ALIVE_MILLISECONDS = 4_000;

    private static final int MAX_RESPONSE_HEAD_BYTES = 8 * 1024;

    private final EndpointReach mReach;
    private final EndpointClient mClient;
    private final EndpointProbes mProbes;
    private final StoreProbe mStoreProbe;

    /**
     * Creates the access to endpoints that are not known yet.
     *
     * @param vertx runs the connections
     * @param settings addresses of the gateway
     * @param dialer opens connections of this VM
     * @param selector tracks which endpoints are silent
     * @param clock monotonic clock
     * @param metrics registry of the metrics
     * @param onRelayOffer sends an offer to open connections for other gateways to control
     * @param listener receives the results of the checks
     */
    EndpointAccess(
            Vertx vertx,
            GatewaySettings settings,
            EndpointDialer dialer,
            EndpointSelector selector,
            MillisecondClock clock,
            MetricRegistry metrics,
            Consumer<RelayOffered> onRelayOffer,
            EndpointProbes.Listener listener) {
        mReach =
                new EndpointReach(
                        vertx,
                        new Relay(
                                settings.relay().host(),
                                settings.relay().port(),
                                settings.dataCentre().value(),
                                false),
                        dialer,
                        CONNECT_TIMEOUT_MILLISECONDS,
                        clock,
                        metrics,
                        onRelayOffer,
                        this::retireConnections);
        mClient =
                new EndpointClient(
                        vertx,
                        mReach::dial,
                        new ExchangeOptions(
                                MAX_CONNECTIONS_PER_ENDPOINT,
                                CONNECT_TIMEOUT_MILLISECONDS,
                                KEEP_ALIVE_MILLISECONDS,
                                MAX_RESPONSE_HEAD_BYTES),
                        clock,
                        metrics.counter("gateway_stray_receptions"));
        mProbes = new EndpointProbes(mReach::check, selector, clock, listener);
        mStoreProbe = new StoreProbe(mReach::dial, selector, clock);
    }

    private void retireConnections(SocketAddress endpoint) {
        mClient.retireConnections(endpoint);
    }

    /** Returns the client with the connections to endpoints. */
    EndpointClient client() {
        return mClient;
    }

    /** Returns the checks of endpoints whose connections broke. */
    EndpointProbes probes() {
        return mProbes;
    }

    /** Starts to serve other gateways. */
    Future<Void> listen() {
        return mReach.listen();
    }

    /** Checks endpoints that are silent or lost, and the store. Called periodically. */
    void check() {
        mProbes.probe();
        mReach.checkPeriodically();
        mStoreProbe.connect();
    }

    /** Replaces the listed endpoints. */
    void endpointsChanged(Endpoints endpoints) {
        mReach.endpointsChanged(endpoints);
    }

    /** Replaces the store of cached prompt parts. */
    void storeChanged(Optional<Store> store) {
        mReach.storeChanged(store);
        mStoreProbe.changeStore(store);
    }

    /** Replaces the gateways that open connections for others. */
    void relaysListed(List<Relay> relays) {
        mReach.relaysListed(relays);
    }

    /** Tells other gateways that this one is about to end. */
    void leave() {
        mReach.leave();
    }

    /** Returns whether no endpoint can be reached by any way, as far as is known. */
    boolean areAllLost() {
        return mReach.hasNoWay();
    }

    /** Returns whether no other gateway is being served. */
    boolean servesNoGateway() {
        return mReach.isIdle();
    }
}
