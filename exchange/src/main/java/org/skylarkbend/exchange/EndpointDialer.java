package org.skylarkbend.exchange;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;

/** Opens connections to endpoints. */
@FunctionalInterface
public interface EndpointDialer {
    /** Opens a connection. The future fails if the endpoint accepts none in time. */
    Future<NetSocket> dial(SocketAddress endpoint);

    /** Returns a dialer that connects to the address itself, within the given time. */
    static EndpointDialer direct(Vertx vertx, long timeoutMilliseconds) {
        NetClient client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout((int) timeoutMilliseconds));
        return client::connect;
    }
}
