package org.skylarkbend.gateway.relay;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.relay.RelayMessage.Reason;

/**
 * Connects to endpoints by the first way that succeeds. A way is tried as soon as the one before it
 * has failed, or has not succeeded for a while. Confined to one task.
 */
final class RelayingDialer {
    /**
     * Time that the gateway's own way has before a relay is asked as well: many round trips between
     * data centres, and well below the time that a call waits for a connection.
     */
    static final long DIRECT_START_MILLISECONDS = 100;

    /** Time that a relay has before the next one is asked as well. */
    static final long RELAY_START_MILLISECONDS = 40;

    private final Vertx mVertx;
    private final EndpointDialer mDirect;
    private final RelayClient mRelays;
    private final EndpointPaths mPaths;
    private final MillisecondClock mClock;
    private final Listener mListener;

    /**
     * Connection to an endpoint.
     *
     * @param socket the connection
     * @param isDirectWayHanging true if the gateway's own way neither opened nor was refused, so
     *     that open connections may hang as well
     */
    record Dialed(NetSocket socket, boolean isDirectWayHanging) {}

    /** Receives changes of the ways to endpoints. */
    interface Listener {
        /** Called when only a relay reaches an endpoint that the gateway itself reached before. */
        void directWayLost(SocketAddress endpoint, Relay relay, String cause, boolean isHanging);

        /** Called when a relay does not respond, so that connections through it may hang. */
        void relayLost(Relay relay, String cause);

        /** Called when the gateway itself reaches an endpoint that only relays reached. */
        void directWayRegained(SocketAddress endpoint);
    }

    /**
     * Creates a dialer.
     *
     * @param vertx sets the timers
     * @param direct opens connections of the gateway itself
     * @param relays opens connections through other gateways
     * @param paths decides on the order of the ways
     * @param clock monotonic clock
     * @param listener receives the changes
     */
    RelayingDialer(
            Vertx vertx,
            EndpointDialer direct,
            RelayClient relays,
            EndpointPaths paths,
            MillisecondClock clock,
            Listener listener) {
        mVertx = vertx;
        mDirect = direct;
        mRelays = relays;
        mPaths = paths;
        mClock = clock;
        mListener = listener;
    }

    /** Connects to an endpoint by the ways that are expected to be open. */
    Future<Dialed> dial(SocketAddress endpoint) {
        return new Dial(endpoint, mPaths.waysTo(endpoint, now())).begin();
    }

    /** Connects to an endpoint, by the gateway's own way if that is open. */
    Future<Dialed> check(SocketAddress endpoint) {
        EndpointPaths.Ways ways = mPaths.waysTo(endpoint, now());
        return new Dial(endpoint, new EndpointPaths.Ways(true, ways.relays())).begin();
    }

    private long now() {
        return mClock.nowMilliseconds();
    }

    /** Connection that one of the ways has opened. */
    private record Opened(NetSocket socket, Optional<Relay> relay) {}

    /** One connection that is being opened. */
    private final class Dial {
        private final SocketAddress mEndpoint;
        private final Deque<Supplier<Future<Opened>>> mWaiting = new ArrayDeque<>();
        private final Promise<Dialed> mResult = Promise.promise();
        private final boolean mStartsDirectly;
        private int mRunning;
        private boolean mDirectStarted;
        private long mTimer = -1;
        private Optional<Throwable> mDirectFailure = Optional.empty();

        Dial(SocketAddress endpoint, EndpointPaths.Ways ways) {
            mEndpoint = endpoint;
            mStartsDirectly = ways.startsDirectly();
            ways.relays().forEach(relay -> mWaiting.add(() -> openThrough(relay)));
            if (mStartsDirectly) {
                mWaiting.addFirst(this::openDirectly);
            } else {
                mWaiting.addLast(this::openDirectly);
            }
        }

        Future<Dialed> begin() {
            startNext(mStartsDirectly ? DIRECT_START_MILLISECONDS : RELAY_START_MILLISECONDS);
            return mResult.future();
        }

        private void startNext(long nextAfterMilliseconds) {
            mVertx.cancelTimer(mTimer);
            if (mResult.future().isComplete() || mWaiting.isEmpty()) {
                return;
            }
            mRunning++;
            Supplier<Future<Opened>> way = mWaiting.poll();
            if (!mWaiting.isEmpty()) {
                mTimer =
                        mVertx.setTimer(
                                nextAfterMilliseconds, id -> startNext(RELAY_START_MILLISECONDS));
            }
            way.get().onSuccess(this::opened).onFailure(this::failed);
        }

        private Future<Opened> openDirectly() {
            mDirectStarted = true;
            return mDirect.dial(mEndpoint)
                    .map(socket -> new Opened(socket, Optional.empty()))
                    .onFailure(
                            e -> {
                                mDirectFailure = Optional.of(e);
                                mPaths.failedDirectly(mEndpoint);
                            });
        }

        private Future<Opened> openThrough(Relay relay) {
            return mRelays.open(relay, mEndpoint)
                    .onFailure(
                            e -> {
                                mPaths.unsuitable(relay, now());
                                mListener.relayLost(relay, e.getMessage());
                            })
                    .compose(response -> toConnection(relay, response));
        }

        private Future<Opened> toConnection(Relay relay, RelayClient.Response response) {
            if (response instanceof RelayClient.Response.Connected connected) {
                return Future.succeededFuture(new Opened(connected.socket(), Optional.of(relay)));
            }
            Reason reason = ((RelayClient.Response.Refused) response).reason();
            if (reason == Reason.ENDPOINT_UNREACHABLE) {
                mPaths.unreachableFor(relay, mEndpoint, now());
            } else {
                mPaths.unsuitable(relay, now());
            }
            return Future.failedFuture("the relay " + relay.host() + " refused: " + reason);
        }

        private void opened(Opened opened) {
            mRunning--;
            if (opened.relay().isEmpty() && mPaths.reachedDirectly(mEndpoint)) {
                mListener.directWayRegained(mEndpoint);
            }
            if (mResult.future().isComplete()) {
                opened.socket().close();
                return;
            }
            mVertx.cancelTimer(mTimer);
            opened.relay().ifPresent(this::reachedBy);
            mResult.complete(
                    new Dialed(
                            opened.socket(), opened.relay().isPresent() && isDirectWayHanging()));
        }

        private void reachedBy(Relay relay) {
            if (mPaths.reachedBy(relay, mEndpoint, now())) {
                String cause = mDirectFailure.map(Throwable::getMessage).orElse("");
                mListener.directWayLost(mEndpoint, relay, cause, isDirectWayHanging());
            }
        }

        private boolean isDirectWayHanging() {
            return mDirectStarted && mDirectFailure.filter(e -> isRefusal(e)).isEmpty();
        }

        private void failed(Throwable failure) {
            mRunning--;
            if (!mWaiting.isEmpty()) {
                startNext(RELAY_START_MILLISECONDS);
            } else if (mRunning == 0) {
                mResult.tryFail(mDirectFailure.orElse(failure));
            }
        }
    }

    /** A timeout is a subclass of the exception of a refused connection. */
    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }
}
