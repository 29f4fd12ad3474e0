package org.skylarkbend.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;

/**
 * Accepts connections. Must be called on the context of the task that will own them.
 *
 * @param <M> the message type of the slice
 */
public final class FrameListener<M> {
    private static final StructuredLog LOG = StructuredLog.of(FrameListener.class);

    private final Vertx mVertx;
    private final MessageCodec<M> mCodec;
    private final WireOptions mOptions;
    private final MillisecondClock mClock;
    private NetServer mServer;
    private Optional<TlsMaterial> mMaterial = Optional.empty();
    private Optional<Long> mReloadTimerId = Optional.empty();

    /** Creates a listener; {@link #listen} opens its port. */
    public FrameListener(
            Vertx vertx, MessageCodec<M> codec, WireOptions options, MillisecondClock clock) {
        mVertx = vertx;
        mCodec = codec;
        mOptions = options;
        mClock = clock;
    }

    /** Starts listening, passes each accepted connection to the consumer and returns the port. */
    public Future<Integer> listen(String host, int port, Consumer<FrameConnection<M>> onConnect) {
        NetServerOptions plain = new NetServerOptions().setTcpNoDelay(true);
        if (mOptions.tls().isEmpty()) {
            return listen(plain, host, port, onConnect);
        }
        return mOptions.tls()
                .get()
                .load()
                .fold(
                        material -> {
                            mMaterial = Optional.of(material);
                            startReloadTimer();
                            return listen(withTls(plain, material), host, port, onConnect);
                        },
                        error -> Future.failedFuture(error.detail()));
    }

    /** Stops listening and closes all accepted connections. */
    public Future<Void> close() {
        mReloadTimerId.ifPresent(mVertx::cancelTimer);
        return mServer == null ? Future.succeededFuture() : mServer.close();
    }

    private Future<Integer> listen(
            NetServerOptions options,
            String host,
            int port,
            Consumer<FrameConnection<M>> onConnect) {
        mServer = mVertx.createNetServer(options);
        mServer.connectHandler(
                socket ->
                        onConnect.accept(
                                new FrameConnection<>(mVertx, socket, mCodec, mOptions, mClock)));
        return mServer.listen(port, host).map(NetServer::actualPort);
    }

    private static NetServerOptions withTls(NetServerOptions options, TlsMaterial material) {
        ServerSSLOptions tls = material.serverOptions();
        return options.setSsl(true)
                .setKeyCertOptions(tls.getKeyCertOptions())
                .setTrustOptions(tls.getTrustOptions())
                .setEnabledSecureTransportProtocols(tls.getEnabledSecureTransportProtocols())
                .setClientAuth(tls.getClientAuth());
    }

    private void startReloadTimer() {
        long periodMilliseconds = mOptions.tlsReloadMilliseconds();
        mReloadTimerId = Optional.of(mVertx.setPeriodic(periodMilliseconds, id -> reload()));
    }

    /** Uses changed TLS files for new connections; keeps the previous ones if reading fails. */
    private void reload() {
        mOptions.tls()
                .get()
                .load()
                .match(
                        this::applyMaterial,
                        error -> LOG.warn("wire.tls.unreadable", "detail", error.detail()));
    }

    private void applyMaterial(TlsMaterial material) {
        if (mMaterial.filter(material::equals).isPresent()) {
            return;
        }
        mMaterial = Optional.of(material);
        mServer.updateSSLOptions(material.serverOptions())
                .onSuccess(changed -> LOG.info("wire.tls.reloaded"))
                .onFailure(e -> LOG.warn("wire.tls.refused", "detail", e.getMessage()));
    }
}
