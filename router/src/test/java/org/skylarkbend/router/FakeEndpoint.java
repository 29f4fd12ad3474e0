package org.skylarkbend.router;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake endpoint that reads complete HTTP requests, counts them as run, records every received
 * byte and responds as scripted. Requests for its load or its events get status 404 and are not
 * counted.
 */
final class FakeEndpoint {
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");

    /** Scripted response to a request. */
    @FunctionalInterface
    interface Script {
        void respond(FakeRequest request, NetSocket socket);
    }

    private final NetServer mServer;
    private final Buffer mCaptured = Buffer.buffer();
    private final List<FakeRequest> mRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger mConnections = new AtomicInteger();
    private volatile Script mScript;
    private int mPort;

    FakeEndpoint(Vertx vertx, Script script) {
        mScript = script;
        mServer = vertx.createNetServer();
        mServer.connectHandler(this::connected);
    }

    int start() {
        mPort = RouterFixture.await(mServer.listen(0, "127.0.0.1")).actualPort();
        return mPort;
    }

    int port() {
        return mPort;
    }

    void stop() {
        RouterFixture.await(mServer.close());
    }

    void script(Script script) {
        mScript = script;
    }

    /** Returns the requests that ran at this endpoint, in order of arrival. */
    List<FakeRequest> requests() {
        return mRequests;
    }

    /** Returns the number of connections that were opened for requests that ran. */
    int connections() {
        return mConnections.get();
    }

    /** Returns everything received on all connections. */
    synchronized String captured() {
        return mCaptured.toString(StandardCharsets.UTF_8);
    }

    private void connected(NetSocket socket) {
        RequestReader reader = new RequestReader();
        boolean[] counted = new boolean[1];
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                chunk -> {
                    capture(chunk);
                    FakeRequest request = reader.feed(chunk);
                    if (request == null) {
                        return;
                    }
                    if (request.uri().equals("/load") || request.uri().startsWith("/events")) {
                        socket.end(Buffer.buffer("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"));
                        return;
                    }
                    if (!counted[0]) {
                        counted[0] = true;
                        mConnections.incrementAndGet();
                    }
                    mRequests.add(request);
                    mScript.respond(request, socket);
                });
    }

    private synchronized void capture(Buffer chunk) {
        mCaptured.appendBuffer(chunk);
    }

    /** Parses the requests of one connection. */
    private static final class RequestReader {
        private Buffer mPending = Buffer.buffer();

        /** Returns the next complete request, or null if it is still incomplete. */
        FakeRequest feed(Buffer chunk) {
            mPending.appendBuffer(chunk);
            String text = mPending.toString(StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return null;
            }
            String head = text.substring(0, headEnd);
            Matcher length = LENGTH.matcher(head);
            int bodyBytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
            int end = headEnd + 4 + bodyBytes;
            if (text.length() < end) {
                return null;
            }
            String body = mPending.getString(headEnd + 4, end);
            mPending = mPending.getBuffer(end, mPending.length()).copy();
            String[] first = head.split("\r\n")[0].split(" ");
            return new FakeRequest(first[0], first[1], head, body);
        }
    }
}
