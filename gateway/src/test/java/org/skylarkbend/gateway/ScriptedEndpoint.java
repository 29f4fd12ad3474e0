package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;

/** Endpoint that responds to its requests, over all connections, with bytes in a given order. */
public final class ScriptedEndpoint {
    /** What the endpoint does after it has sent the bytes of a response. */
    public enum Then {
        /** Keeps the connection open. */
        KEEP,
        /** Closes the connection in the regular way. */
        CLOSE,
        /**
         * Resets the connection. All closed connections of an endpoint that resets any are reset.
         */
        RESET
    }

    /** Response to a request. */
    public record Step(String bytes, Then then) {}

    /** Time in which the receiver reads all bytes, which a reset might discard. */
    private static final long READ_MILLISECONDS = 100;

    private static final String HEAD_END = "\r\n\r\n";

    private final String mId;
    private final int mPort = LoopbackPorts.next();
    private final List<Step> mSteps;
    private final AtomicInteger mRequests = new AtomicInteger();
    private Vertx mVertx;

    /** Creates an endpoint that does not listen yet. Requests after the last step get no bytes. */
    public ScriptedEndpoint(String id, Step... steps) {
        mId = id;
        mSteps = List.of(steps);
    }

    /** Starts to listen on the loopback interface. */
    public Future<?> listen(Vertx vertx) {
        mVertx = vertx;
        boolean resets = mSteps.stream().anyMatch(step -> step.then() == Then.RESET);
        NetServerOptions options = new NetServerOptions();
        if (resets) {
            options.setSoLinger(0);
        }
        return vertx.createNetServer(options)
                .connectHandler(this::serve)
                .listen(mPort, "127.0.0.1");
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return new Endpoint(mId, "desk", "127.0.0.1", mPort, "z", "v1", 6, false, 1, Map.of());
    }

    /** Returns the number of requests received. */
    public int requests() {
        return mRequests.get();
    }

    private void serve(NetSocket socket) {
        Buffer received = Buffer.buffer();
        int[] served = new int[1];
        socket.handler(
                chunk -> {
                    received.appendBuffer(chunk);
                    int heads = received.toString().split(HEAD_END, -1).length - 1;
                    for (; served[0] < heads; served[0]++) {
                        respond(socket);
                    }
                });
    }

    private void respond(NetSocket socket) {
        int request = mRequests.getAndIncrement();
        if (request >= mSteps.size()) {
            return;
        }
        Step step = mSteps.get(request);
        Future<Void> sent =
                step.bytes().isEmpty()
                        ? Future.succeededFuture()
                        : socket.write(Buffer.buffer(step.bytes()));
        sent.onSuccess(ignored -> finish(socket, step.then()));
    }

    private void finish(NetSocket socket, Then then) {
        if (then != Then.KEEP) {
            mVertx.setTimer(READ_MILLISECONDS, id -> socket.close());
        }
    }
}
