package org.skylarkbend.router;

import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** An endpoint that closes each connection without a response after a given number of bytes. */
final class CuttingEndpoint {
    private final IntSupplier mCutBytes;
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mLongestRequestBytes = new AtomicInteger();
    private final int mPort;

    CuttingEndpoint(RouterFixture fixture, IntSupplier cutBytes) {
        mCutBytes = cutBytes;
        NetServer server = fixture.vertx().createNetServer();
        server.connectHandler(this::connected);
        mPort = RouterFixture.await(server.listen(0, "127.0.0.1")).actualPort();
    }

    int port() {
        return mPort;
    }

    /** Returns the number of connections that received a call. */
    int connections() {
        return mConnections.get();
    }

    int longestRequestBytes() {
        return mLongestRequestBytes.get();
    }

    private void connected(NetSocket socket) {
        int[] readBytes = new int[1];
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                chunk -> {
                    if (readBytes[0] == 0 && chunk.toString().startsWith("POST")) {
                        mConnections.incrementAndGet();
                        mLongestRequestBytes.accumulateAndGet(chunk.length(), Math::max);
                    }
                    readBytes[0] += chunk.length();
                    if (readBytes[0] >= mCutBytes.getAsInt()) {
                        socket.close();
                    }
                });
    }
}
