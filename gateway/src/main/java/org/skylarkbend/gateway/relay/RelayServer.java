package org.skylarkbend.gateway.relay;

import com.codahale.metrics.Counter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.relay.RelayMessage.NotOpened;
import org.skylarkbend.gateway.relay.RelayMessage.Open;
import org.skylarkbend.gateway.relay.RelayMessage.Opened;
import org.skylarkbend.gateway.relay.RelayMessage.Reason;
import org.skylarkbend.wire.FrameAssembler;

/**
 * Opens connections to endpoints for gateways that cannot, and passes the bytes on. Only listed
 * endpoints are connected to, and only by this gateway's own way. Confined to one task.
 */
final class RelayServer {
    private static final StructuredLog LOG = StructuredLog.of(RelayServer.class);

    /** Time in which the request of a gateway must have arrived. */
    private static final long REQUEST_MILLISECONDS = 1_000;

    /** Connections of gateways that are served at a time; each may hold some 128 KB of bytes. */
    private static final int MAX_CONNECTIONS = 256;

    /** Time without any byte after which the other side is taken for gone. */
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    private final Vertx mVertx;
    private final EndpointDialer mDirect;
    private final EndpointPaths mPaths;
    private final Counter mOpen;
    private final RelayCodec mCodec = new RelayCodec();
    private final Set<Tunnel> mTunnels = new HashSet<>();
    private NetServer mServer;

    /**
     * Creates a server that does not listen.
     *
     * @param vertx runs the server
     * @param direct opens connections of the gateway itself
     * @param paths knows which endpoints are listed and which of them the gateway itself reaches
     * @param open counts the connections that are served at present
     */
    RelayServer(Vertx vertx, EndpointDialer direct, EndpointPaths paths, Counter open) {
        mVertx = vertx;
        mDirect = direct;
        mPaths = paths;
        mOpen = open;
    }

    /** Starts listening. */
    Future<?> listen(String host, int port) {
        mServer =
                mVertx.createNetServer(
                        new NetServerOptions()
                                .setTcpNoDelay(true)
                                .setIdleTimeout(IDLE_TIMEOUT_SECONDS));
        mServer.connectHandler(socket -> new Tunnel(socket).begin());
        return mServer.listen(port, host);
    }

    /** Returns whether no connection is served. */
    boolean isIdle() {
        return mTunnels.isEmpty();
    }

    private static void abort(NetSocket socket) {
        ((NetSocketInternal) socket).channelHandlerContext().close();
    }

    /** Connection of a gateway and the one to the endpoint that it asked for. */
    private final class Tunnel {
        private final NetSocket mGateway;
        private final FrameAssembler mFrames = new FrameAssembler(RelayCodec.MAX_PAYLOAD_BYTES);
        private final long mRequestTimer;
        private boolean mClosed;
        private boolean mEndpointFailed;
        private long mUnwrittenBytes;

        Tunnel(NetSocket gateway) {
            mGateway = gateway;
            mRequestTimer = mVertx.setTimer(REQUEST_MILLISECONDS, id -> abort(gateway));
        }

        void begin() {
            mTunnels.add(this);
            mOpen.inc();
            mGateway.exceptionHandler(e -> abort(mGateway));
            mGateway.closeHandler(ignored -> closed());
            mGateway.handler(
                    chunk ->
                            mFrames.feed(chunk.getBytes())
                                    .match(this::received, error -> invalid(error.detail())));
        }

        private void closed() {
            mClosed = true;
            mVertx.cancelTimer(mRequestTimer);
            mTunnels.remove(this);
            mOpen.dec();
        }

        private void received(List<byte[]> payloads) {
            for (byte[] payload : payloads) {
                mVertx.cancelTimer(mRequestTimer);
                mCodec.decode(payload).match(this::handle, error -> invalid(error.detail()));
            }
        }

        private void invalid(String detail) {
            LOG.warn("relay.request.invalid", "peer", mGateway.remoteAddress(), "detail", detail);
            abort(mGateway);
        }

        private void handle(RelayMessage message) {
            mGateway.handler(chunk -> invalid("bytes before the connection was open"));
            if (message instanceof Open open && open.port() > 0) {
                open(SocketAddress.inetSocketAddress(open.port(), open.host()));
            } else {
                invalid("unexpected message");
            }
        }

        private void open(SocketAddress endpoint) {
            boolean isSuitable =
                    mTunnels.size() <= MAX_CONNECTIONS
                            && mPaths.isListed(endpoint)
                            && !mPaths.isCutOff()
                            && !mPaths.isRelayed(endpoint);
            if (!isSuitable) {
                refuse(endpoint, Reason.RELAY_UNSUITABLE);
                return;
            }
            mDirect.dial(endpoint)
                    .onSuccess(socket -> mPaths.reachedDirectly(endpoint))
                    .onSuccess(this::connected)
                    .onFailure(e -> mPaths.failedDirectly(endpoint))
                    .onFailure(e -> refuse(endpoint, Reason.ENDPOINT_UNREACHABLE));
        }

        private void refuse(SocketAddress endpoint, Reason reason) {
            LOG.info(
                    "relay.refused",
                    "peer",
                    mGateway.remoteAddress(),
                    "endpoint",
                    endpoint,
                    "reason",
                    reason,
                    "open",
                    mTunnels.size());
            send(new NotOpened(reason));
            mGateway.end();
        }

        private void send(RelayMessage message) {
            mGateway.write(Buffer.buffer(FrameAssembler.frameOf(mCodec.encode(message))));
        }

        private void connected(NetSocket endpoint) {
            if (mClosed) {
                endpoint.close();
                return;
            }
            send(new Opened());
            mGateway.closeHandler(
                    ignored -> {
                        closed();
                        abort(endpoint);
                    });
            mGateway.handler(chunk -> passRequest(chunk, endpoint));
            endpoint.handler(chunk -> pass(TunnelDecoder.block(chunk), endpoint, mGateway));
            endpoint.exceptionHandler(e -> mEndpointFailed = true);
            endpoint.endHandler(ignored -> endpointEnded());
        }

        /**
         * A connection that was reset must not look like one that was ended. A reset may end it
         * before the failed write of a request is known; a response that is complete by itself is
         * still passed on then.
         */
        private void endpointEnded() {
            if (mEndpointFailed) {
                abort(mGateway);
            } else if (mUnwrittenBytes > 0) {
                mGateway.end();
            } else {
                mGateway.end(TunnelDecoder.end());
            }
        }

        private void passRequest(Buffer bytes, NetSocket endpoint) {
            mUnwrittenBytes += bytes.length();
            pass(bytes, mGateway, endpoint).onSuccess(ignored -> mUnwrittenBytes -= bytes.length());
        }

        private Future<Void> pass(Buffer bytes, NetSocket from, NetSocket to) {
            Future<Void> written = to.write(bytes);
            if (to.writeQueueFull()) {
                from.pause();
                to.drainHandler(ignored -> from.resume());
            }
            return written;
        }
    }
}
