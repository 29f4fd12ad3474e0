package org.skylarkbend.exchange;

import com.codahale.metrics.Counter;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.base.MillisecondClock;

/**
 * HTTP/1.1 client for exchanges with endpoints. It is confined to the context on which it was
 * created, and so are its exchanges.
 */
public final class EndpointClient {
    private static final long EXPIRY_INTERVAL_MILLISECONDS = 500;

    private final Vertx mVertx;
    private final NetClient mClient;
    private final ExchangeOptions mOptions;
    private final MillisecondClock mClock;
    private final Counter mStrayReceptions;
    private final Map<SocketAddress, ConnectionPool> mPools = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param vertx runs its connections
     * @param options bounds of the connections
     * @param clock monotonic clock
     * @param strayReceptions counts receptions of bytes that belong to no response
     */
    public EndpointClient(
            Vertx vertx, ExchangeOptions options, MillisecondClock clock, Counter strayReceptions) {
        mVertx = vertx;
        mOptions = options;
        mClock = clock;
        mStrayReceptions = strayReceptions;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout((int) options.connectTimeoutMilliseconds()));
        vertx.setPeriodic(EXPIRY_INTERVAL_MILLISECONDS, id -> closeExpired());
    }

    /** Sends the request as soon as there is a connection for it. */
    public void start(Exchange exchange) {
        mPools.computeIfAbsent(exchange.request().endpoint(), this::newPool).submit(exchange);
    }

    private ConnectionPool newPool(SocketAddress endpoint) {
        return new ConnectionPool(
                mVertx, mClient, endpoint, mOptions, mClock, mStrayReceptions, mPools::remove);
    }

    private void closeExpired() {
        List.copyOf(mPools.values()).forEach(ConnectionPool::closeExpired);
    }
}
