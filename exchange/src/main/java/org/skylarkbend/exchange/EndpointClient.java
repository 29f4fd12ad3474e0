package org.skylarkbend.exchange;

import com.codahale.metrics.Counter;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.MillisecondClock;

/**
 * HTTP/1.1 client for exchanges with endpoints. It is confined to the context on which it was
 * created, and so are its exchanges.
 */
public final class EndpointClient {
    private static final long EXPIRY_INTERVAL_MILLISECONDS = 500;

    private final Vertx mVertx;
    private final EndpointDialer mDialer;
    private final ExchangeOptions mOptions;
    private final MillisecondClock mClock;
    private final Counter mStrayReceptions;
    private final Map<SocketAddress, ConnectionPool> mPools = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param vertx sets the timers
     * @param dialer opens the connections
     * @param options bounds of the connections
     * @param clock monotonic clock
     * @param strayReceptions counts receptions of bytes that belong to no response
     */
    public EndpointClient(
            Vertx vertx,
            EndpointDialer dialer,
            ExchangeOptions options,
            MillisecondClock clock,
            Counter strayReceptions) {
        mVertx = vertx;
        mDialer = dialer;
        mOptions = options;
        mClock = clock;
        mStrayReceptions = strayReceptions;
        vertx.setPeriodic(EXPIRY_INTERVAL_MILLISECONDS, id -> closeExpired());
    }

    /** Sends the request as soon as there is a connection for it. */
    public void start(Exchange exchange) {
        mPools.computeIfAbsent(exchange.request().endpoint(), this::newPool).submit(exchange);
    }

    /**
     * Uses the open connections to an endpoint for no further exchange. Exchanges in progress go
     * on.
     */
    public void retireConnections(SocketAddress endpoint) {
        Optional.ofNullable(mPools.get(endpoint)).ifPresent(ConnectionPool::retire);
    }

    private ConnectionPool newPool(SocketAddress endpoint) {
        return new ConnectionPool(
                mVertx, mDialer, endpoint, mOptions, mClock, mStrayReceptions, mPools::remove);
    }

    private void closeExpired() {
        List.copyOf(mPools.values()).forEach(ConnectionPool::closeExpired);
    }
}
