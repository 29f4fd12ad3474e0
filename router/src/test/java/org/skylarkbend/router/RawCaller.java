package org.skylarkbend.router;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/** A caller that sends raw bytes and reads until the connection is closed. */
final class RawCaller {
    private RawCaller() {}

    /** Sends the bytes and returns what was received before the router closed the connection. */
    static CompletableFuture<String> open(
            RouterFixture fixture, String bytes, AtomicReference<NetSocket> opened) {
        CompletableFuture<String> closed = new CompletableFuture<>();
        Buffer received = Buffer.buffer();
        NetSocket socket =
                RouterFixture.await(
                        fixture.rawClient()
                                .connect(fixture.port(), "127.0.0.1")
                                .onSuccess(
                                        connected -> {
                                            connected.handler(received::appendBuffer);
                                            connected.exceptionHandler(e -> {});
                                            connected.closeHandler(
                                                    ignored ->
                                                            closed.complete(received.toString()));
                                            connected.write(bytes);
                                        }));
        opened.set(socket);
        return closed;
    }

    static String exchange(RouterFixture fixture, String bytes) {
        return RouterFixture.await(open(fixture, bytes, new AtomicReference<>()));
    }
}
