package org.skylarkbend.testing;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicLong;

/** Client that sends bytes chosen by the test, valid or not, and keeps what it receives. */
public final class RawClient {
    private static final String HOST = "127.0.0.1";

    private final Vertx mVertx;

    /** Kept, since a client that is garbage closes its connections. */
    private final NetClient mClient;

    private final NetSocket mSocket;
    private final StringBuffer mReceived = new StringBuffer();
    private final AtomicLong mSentBytes = new AtomicLong();
    private volatile boolean mClosed;

    private RawClient(Vertx vertx, NetClient client, NetSocket socket) {
        mVertx = vertx;
        mClient = client;
        mSocket = socket;
        socket.handler(chunk -> mReceived.append(chunk.toString("ISO-8859-1")));
        socket.exceptionHandler(e -> {});
        socket.closeHandler(ignored -> mClosed = true);
    }

    /** Connects to a port of the loopback interface. */
    public static Future<RawClient> connect(Vertx vertx, int port) {
        NetClient client = vertx.createNetClient();
        return client.connect(port, HOST).map(socket -> new RawClient(vertx, client, socket));
    }

    /** Sends the characters as single bytes. Completes once they are accepted for sending. */
    public Future<Void> send(String bytes) {
        return mSocket.write(Buffer.buffer(bytes, "ISO-8859-1"));
    }

    /** Sends the bytes again and again, with a pause in between, until the connection closes. */
    public void repeat(String bytes, long pauseMilliseconds) {
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

    /** Reads nothing from now on. */
    public void pause() {
        mSocket.pause();
    }

    /** Closes the connection. */
    public Future<Void> close() {
        return mClient.close();
    }

    /** Returns all received bytes as characters. */
    public String received() {
        return mReceived.toString();
    }

    /** Returns whether the connection is closed, by either side. */
    public boolean isClosed() {
        return mClosed;
    }

    /** Returns the number of repeated bytes that were accepted for sending. */
    public long sentBytes() {
        return mSentBytes.get();
    }
}
