package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.testing.RawServer;

/** Endpoint that responds to each request with bytes chosen by the test, valid or not. */
public final class RawEndpoint {
    private final int mPort = LoopbackPorts.next();
    private final Buffer mFirst;
    private final Buffer mRepeated;
    private final long mPauseMilliseconds;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicLong mRequests = new AtomicLong();
    private Vertx mVertx;
    private RawServer mServer;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param first sent once for each request
     * @param repeated sent again and again, until the connection is closed
     * @param pauseMilliseconds the time between two repetitions; 0 for none
     */
    public RawEndpoint(String first, String repeated, long pauseMilliseconds) {
        mPauseMilliseconds = pauseMilliseconds;
        mFirst = Buffer.buffer(first);
        mRepeated = Buffer.buffer(repeated);
    }

    /** Starts to listen on the loopback interface. */
    public Future<?> listen(Vertx vertx) {
        mVertx = vertx;
        mServer = new RawServer(vertx, this::respond);
        return mServer.listen(mPort);
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return ListedEndpoint.of("raw", mPort);
    }

    /** Returns the number of bytes that were accepted for sending. */
    public long sentBytes() {
        return mSentBytes.get();
    }

    /** Returns the number of requests received. */
    public long requests() {
        return mRequests.get();
    }

    /** Returns whether a connection was closed. */
    public boolean isClosed() {
        return mServer.hasClosed();
    }

    /** Responds to the first request of a connection. */
    private void respond(RawServer.Request request, NetSocket socket) {
        if (request.number() == 1) {
            mRequests.incrementAndGet();
            socket.write(mFirst).onSuccess(ignored -> repeat(socket));
        }
    }

    private void repeat(NetSocket socket) {
        if (mRepeated.length() == 0 || isClosed()) {
            return;
        }
        socket.write(mRepeated)
                .onSuccess(
                        ignored -> {
                            mSentBytes.addAndGet(mRepeated.length());
                            if (mPauseMilliseconds == 0) {
                                repeat(socket);
                            } else {
                                mVertx.setTimer(mPauseMilliseconds, id -> repeat(socket));
                            }
                        });
    }
}
