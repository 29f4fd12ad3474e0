package org.skylarkbend.gateway.front;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicLong;

/** Caller that sends bytes chosen by the test, valid or not, and keeps what it receives. */
final class RawCaller {
    private final Vertx mVertx;

    /** Kept, since a client that is garbage closes its connections. */
    private final NetClient mClient;

    private final NetSocket mSocket;
    private final StringBuffer mReceived = new StringBuffer();
    private final AtomicLong mSentBytes = new AtomicLong();
    private volatile boolean mClosed;

    private RawCaller(Vertx vertx, NetClient client, NetSocket socket) {
        mVertx = vertx;
        mClient = client;
        mSocket = socket;
        socket.handler(chunk -> mReceived.append(chunk.toString("ISO-8859-1")));
        socket.exceptionHandler(e -> {});
        socket.closeHandler(ignored -> mClosed = true);
    }

    static Future<RawCaller> connect(Vertx vertx, int port) {
        NetClient client = vertx.createNetClient();
        return client.connect(port, "127.0.0.1")
                .map(socket -> new RawCaller(vertx, client, socket));
    }

    Future<Void> send(String bytes) {
        return mSocket.write(Buffer.buffer(bytes, "ISO-8859-1"));
    }

    /** Sends the bytes again and again, with a pause in between, until the connection closes. */
    void repeat(String bytes, long pauseMilliseconds) {
        if (mClosed) {
            return;
        }
        send(bytes)
                .onSuccess(
                        ignored -> {
                            mSentBytes.addAndGet(bytes.length());
                            if (pauseMilliseconds == 0) {
                                mVertx.runOnContext(next -> repeat(bytes, 0));
                            } else {
                                mVertx.setTimer(
                                        pauseMilliseconds, id -> repeat(bytes, pauseMilliseconds));
                            }
                        });
    }

    Future<Void> close() {
        return mClient.close();
    }

    String received() {
        return mReceived.toString();
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Returns the number of repeated bytes that were accepted for sending. */
    long sentBytes() {
        return mSentBytes.get();
    }
}
