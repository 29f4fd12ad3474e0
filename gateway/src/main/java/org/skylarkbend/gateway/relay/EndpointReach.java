package org.skylarkbend.gateway.relay;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.catalog.Service.Store;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.exchange.EndpointDialer;

/**
 * The connections between a gateway and the endpoints: opens those of its own calls, through other
 * gateways where its own links fail, and serves other gateways in the same way. Confined to the
 * task that serves the calls.
 */
public final class EndpointReach {
    private static final StructuredLog LOG = StructuredLog.of(EndpointReach.class);

    /** Interval at which the offer to other gateways is repeated, as control may forget it. */
    private static final long OFFER_MILLISECONDS = 1_000;

    /**
     * Time after which a gateway that finds no way sends its callers elsewhere. Until then the
     * endpoints may be what fails.
     */
    private static final long NO_WAY_MILLISECONDS = 1_000;

    /**
     * Time after the loss of the own way to an endpoint in which silent calls there are taken for
     * calls on connections that hang. Later ones go through relays.
     */
    private static final long HANGING_MILLISECONDS = 2_000;

    private final MillisecondClock mClock;
    private final EndpointPaths mPaths;
    private final RelayingDialer mDialer;
    private final RelayServer mServer;
    private final Consumer<RelayOffered> mOnOffer;
    private final Consumer<SocketAddress> mOnConnectionsOutdated;
    private Relay mSelf;
    private List<Relay> mRelays = List.of();
    private Set<SocketAddress> mEndpoints = Set.of();
    private Optional<SocketAddress> mStore = Optional.empty();
    private boolean mListening;
    private boolean mCutOff;
    private long mCutOffMilliseconds;
    private boolean mHasNoWay;
    private long mOfferedMilliseconds = Long.MIN_VALUE / 2;

    /**
     * Creates a component that opens no connection yet.
     *
     * @param vertx runs the connections
     * @param self address on which other gateways are served
     * @param direct opens connections of the gateway itself
     * @param connectMilliseconds time within which a relay must respond
     * @param clock monotonic clock
     * @param metrics registry of the metrics
     * @param onOffer sends an offer to control, without guaranteed delivery
     * @param onConnectionsOutdated receives an endpoint whose open connections are to be replaced,
     *     because they may hang or because a better way is open again
     */
    public EndpointReach(
            Vertx vertx,
            Relay self,
            EndpointDialer direct,
            long connectMilliseconds,
            MillisecondClock clock,
            MetricRegistry metrics,
            Consumer<RelayOffered> onOffer,
            Consumer<SocketAddress> onConnectionsOutdated) {
        mSelf = self;
        mClock = clock;
        mOnOffer = onOffer;
        mOnConnectionsOutdated = onConnectionsOutdated;
        mPaths = new EndpointPaths(self.dataCentre(), new Random());
        mServer =
                new RelayServer(
                        vertx, direct, mPaths, metrics.counter("gateway_relayed_for_others"));
        mDialer =
                new RelayingDialer(
                        vertx,
                        direct,
                        new RelayClient(vertx, connectMilliseconds),
                        mPaths,
                        clock,
                        pathListener(metrics));
    }

    /**
     * Starts to serve other gateways. If the port is taken, the gateway serves its own calls only.
     */
    public Future<Void> listen() {
        return mServer.listen(mSelf.host(), mSelf.port())
                .onSuccess(ignored -> mListening = true)
                .onFailure(e -> LOG.error(e, "relay.not_listening", "port", mSelf.port()))
                .otherwiseEmpty()
                .mapEmpty();
    }

    /** Opens a connection to an endpoint or the store. */
    public Future<NetSocket> dial(SocketAddress endpoint) {
        return mDialer.dial(endpoint).map(RelayingDialer.Dialed::socket);
    }

    /**
     * Checks whether an endpoint accepts connections, by any way. The result is false if it does
     * but the connections that the gateway itself has opened to it may hang.
     */
    public Future<Boolean> check(SocketAddress endpoint) {
        long sinceMilliseconds = mClock.nowMilliseconds() - HANGING_MILLISECONDS;
        return mDialer.check(endpoint)
                .map(
                        dialed -> {
                            dialed.socket().close();
                            return !dialed.isDirectWayHanging()
                                    || !mPaths.isRelayedSince(endpoint, sinceMilliseconds);
                        });
    }

    /**
     * Replaces the gateways that open connections for others. One that is not listed any more may
     * be about to end, so connections through relays are replaced when they are free.
     */
    public void relaysListed(List<Relay> relays) {
        boolean isOneGone = !relays.containsAll(mRelays);
        mRelays = relays.stream().filter(relay -> !relay.isSameAddress(mSelf)).toList();
        mPaths.relaysListed(mRelays);
        LOG.info("relays.listed", "relays", mRelays.size());
        if (isOneGone) {
            mPaths.relayedEndpoints().forEach(mOnConnectionsOutdated);
        }
    }

    /** Replaces the listed endpoints. */
    public void endpointsChanged(Endpoints endpoints) {
        Set<SocketAddress> addresses = new HashSet<>();
        endpoints
                .endpoints()
                .forEach(e -> addresses.add(SocketAddress.inetSocketAddress(e.port(), e.host())));
        mEndpoints = Set.copyOf(addresses);
        updateListed();
    }

    /** Replaces the store of cached prompt parts. */
    public void storeChanged(Optional<Store> store) {
        mStore = store.map(s -> SocketAddress.inetSocketAddress(s.port(), s.host()));
        updateListed();
    }

    private void updateListed() {
        Set<SocketAddress> all = new HashSet<>(mEndpoints);
        mStore.ifPresent(all::add);
        mPaths.endpointsListed(all);
        update();
    }

    /** Tries lost ways again and repeats the offer to other gateways. Called periodically. */
    public void checkPeriodically() {
        long nowMilliseconds = mClock.nowMilliseconds();
        mPaths.dueChecks(nowMilliseconds)
                .forEach(
                        endpoint ->
                                mDialer.check(endpoint)
                                        .onSuccess(dialed -> dialed.socket().close()));
        update();
        mHasNoWay =
                mCutOff
                        && nowMilliseconds - mCutOffMilliseconds >= NO_WAY_MILLISECONDS
                        && mPaths.areRelaysUseless(nowMilliseconds);
        if (nowMilliseconds - mOfferedMilliseconds >= OFFER_MILLISECONDS) {
            offer();
        }
    }

    /**
     * Returns whether the gateway had found no way to any endpoint for some time when it checked.
     */
    public boolean hasNoWay() {
        return mHasNoWay;
    }

    /** Returns whether no other gateway is being served. */
    public boolean isIdle() {
        return mServer.isIdle();
    }

    /** Tells other gateways that this one is about to end. Until then it is their last resort. */
    public void leave() {
        mSelf = new Relay(mSelf.host(), mSelf.port(), mSelf.dataCentre(), true);
        offer();
    }

    private void offer() {
        mOfferedMilliseconds = mClock.nowMilliseconds();
        mOnOffer.accept(new RelayOffered(mSelf, mListening && !mCutOff));
    }

    private void update() {
        if (mPaths.isCutOff() != mCutOff) {
            mCutOff = mPaths.isCutOff();
            mCutOffMilliseconds = mClock.nowMilliseconds();
            if (mCutOff) {
                LOG.warn("gateway.cut_off", "relayed", mPaths.relayedEndpoints().size());
            } else {
                LOG.info("gateway.reconnected", "relayed", mPaths.relayedEndpoints().size());
            }
            offer();
        }
    }

    private RelayingDialer.Listener pathListener(MetricRegistry metrics) {
        return new RelayingDialer.Listener() {
            @Override
            public void directWayLost(
                    SocketAddress endpoint, Relay relay, String cause, boolean isHanging) {
                metrics.counter("gateway_direct_ways_lost").inc();
                LOG.warn(
                        "endpoint.relayed",
                        "endpoint",
                        endpoint,
                        "relay",
                        relay.host(),
                        "hanging",
                        isHanging,
                        "cause",
                        cause);
                if (isHanging) {
                    outdated(endpoint);
                }
                update();
            }

            @Override
            public void relayLost(Relay relay, String cause) {
                LOG.info("relay.lost", "relay", relay.host(), "cause", cause);
                mPaths.relayedEndpoints().forEach(mOnConnectionsOutdated);
            }

            @Override
            public void directWayRegained(SocketAddress endpoint) {
                LOG.info("endpoint.direct", "endpoint", endpoint);
                mOnConnectionsOutdated.accept(endpoint);
                update();
            }
        };
    }

    /** Where all endpoints are lost, the connections to the others hang as well. */
    private void outdated(SocketAddress endpoint) {
        mOnConnectionsOutdated.accept(endpoint);
        if (mPaths.isCutOff()) {
            mEndpoints.forEach(mOnConnectionsOutdated);
        }
    }
}
