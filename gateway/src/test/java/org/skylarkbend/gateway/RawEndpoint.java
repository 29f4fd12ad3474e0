package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;

/** Endpoint that responds to each request with bytes chosen by the test, valid or not. */
public final class RawEndpoint {
    private static final String HEAD_END = "\r\n\r\n";

    private final int mPort = LoopbackPorts.next();
    private final Buffer mFirst;
    private final Buffer mRepeated;
    private final long mPauseMilliseconds;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicLong mRequests = new AtomicLong();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private Vertx mVertx;

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
        return vertx.createNetServer()
                .connectHandler(
                        socket -> {
                            Buffer received = Buffer.buffer();
                            socket.closeHandler(ignored -> mClosed.set(true));
                            socket.handler(
                                    chunk -> {
                                        boolean begun = received.toString().contains(HEAD_END);
                                        received.appendBuffer(chunk);
                                        if (!begun && received.toString().contains(HEAD_END)) {
                                            mRequests.incrementAndGet();
                                            respond(socket);
                                        }
                                    });
                        })
                .listen(mPort, "127.0.0.1");
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return new Endpoint("raw", "desk", "127.0.0.1", mPort, "z", "v1", 6, false, 1, Map.of());
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
        return mClosed.get();
    }

    private void respond(NetSocket socket) {
        socket.write(mFirst).onSuccess(ignored -> repeat(socket));
    }

    private void repeat(NetSocket socket) {
        if (mRepeated.length() == 0 || mClosed.get()) {
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
