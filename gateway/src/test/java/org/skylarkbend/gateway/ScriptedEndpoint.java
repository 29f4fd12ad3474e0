package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.testing.RawServer;

/** Endpoint that responds to its requests, over all connections, with bytes in a given order. */
public final class ScriptedEndpoint {
    /** What the endpoint does after it has sent the bytes of a response. */
    public enum Then {
        /** Keeps the connection open. */
        KEEP,
        /** Closes the connection in the regular way. */
        CLOSE,
        /** Resets the connection. */
        RESET
    }

    /** Response to a request. */
    public record Step(String bytes, Then then) {}

    /** Time in which the receiver reads all bytes, which a reset might discard. */
    private static final long READ_MILLISECONDS = 100;

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
        return new RawServer(vertx, (request, socket) -> respond(socket)).listen(mPort);
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return ListedEndpoint.of(mId, mPort);
    }

    /** Returns the number of requests received. */
    public int requests() {
        return mRequests.get();
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
        if (then == Then.CLOSE) {
            mVertx.setTimer(READ_MILLISECONDS, id -> socket.close());
        } else if (then == Then.RESET) {
            mVertx.setTimer(READ_MILLISECONDS, id -> RawServer.reset(socket));
        }
    }
}
