package org.skylarkbend.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.skylarkbend.base.MillisecondClock;

/**
 * Opens connections. Must be called on the context of the task that will own them.
 *
 * @param <M> the message type of the slice
 */
public final class FrameDialer<M> {
    private final Vertx mVertx;
    private final MessageCodec<M> mCodec;
    private final WireOptions mOptions;
    private final MillisecondClock mClock;
    private final NetClient mClient;

    /** Creates a dialer with its own TCP client. */
    public FrameDialer(
            Vertx vertx, MessageCodec<M> codec, WireOptions options, MillisecondClock clock) {
        mVertx = vertx;
        mCodec = codec;
        mOptions = options;
        mClock = clock;
        NetClientOptions client =
                new NetClientOptions()
                        .setTcpNoDelay(true)
                        .setConnectTimeout((int) options.connectTimeoutMilliseconds());
        mClient = vertx.createNetClient(client);
    }

    /** Opens a connection. Retries after a failure are left to the caller. */
    public Future<FrameConnection<M>> dial(String host, int port) {
        ConnectOptions target = new ConnectOptions().setHost(host).setPort(port);
        if (mOptions.tls().isEmpty()) {
            return connect(target);
        }
        return mOptions.tls()
                .get()
                .load()
                .fold(
                        material ->
                                connect(
                                        target.setSsl(true)
                                                .setSslOptions(material.clientOptions())),
                        error -> Future.failedFuture(error.detail()));
    }

    private Future<FrameConnection<M>> connect(ConnectOptions target) {
        return mClient.connect(target)
                .map(socket -> new FrameConnection<>(mVertx, socket, mCodec, mOptions, mClock));
    }

    /** Closes all connections that this dialer opened. */
    public Future<Void> close() {
        return mClient.close();
    }
}
