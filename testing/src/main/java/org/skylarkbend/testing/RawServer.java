package org.skylarkbend.testing;

import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** HTTP server on the loopback interface that responds with any bytes, as its script says. */
public final class RawServer {
    private static final String HOST = "127.0.0.1";
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern LENGTH =
            Pattern.compile("(?i)\r\ncontent-length: *(\\d+)(?:\r\n|\\z)");

    /**
     * Request that was received completely.
     *
     * @param connection number of its connection, from 1
     * @param number its number on the connection, from 1
     * @param head request line and headers
     * @param body body
     */
    public record Request(int connection, int number, String head, String body) {
        /** Returns all bytes of the request, one a character. */
        public String bytes() {
            return head + HEAD_END + body;
        }
    }

    /** Responds to a request on its connection. */
    @FunctionalInterface
    public interface Script {
        /** Writes what the request gets, or closes the connection. */
        void respond(Request request, NetSocket socket);
    }

    private final Vertx mVertx;
    private final Script mScript;
    private final List<Request> mRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mOpenConnections = new AtomicInteger();
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /** Creates a server that does not listen yet. */
    public RawServer(Vertx vertx, Script script) {
        mVertx = vertx;
        mScript = script;
    }

    /** Starts to listen on a free port. Returns the port. */
    public Future<Integer> listen() {
        return listen(0);
    }

    /** Starts to listen on a port, or on a free one if it is 0. Returns the port. */
    public Future<Integer> listen(int port) {
        return mVertx.createNetServer()
                .connectHandler(this::serve)
                .listen(port, HOST)
                .map(server -> server.actualPort());
    }

    /** Returns the requests received, in order. */
    public List<Request> requests() {
        return mRequests;
    }

    /** Returns the number of connections that were opened. */
    public int connections() {
        return mConnections.get();
    }

    /** Returns the number of connections that are open. */
    public int openConnections() {
        return mOpenConnections.get();
    }

    /** Returns whether a connection was closed. */
    public boolean hasClosed() {
        return mClosed.get();
    }

    /** Closes a connection without the regular end of its bytes. */
    public static void reset(NetSocket socket) {
        ((NetSocketInternal) socket)
                .channelHandlerContext()
                .channel()
                .config()
                .setOption(ChannelOption.SO_LINGER, 0);
        socket.close();
    }

    private void serve(NetSocket socket) {
        int connection = mConnections.incrementAndGet();
        mOpenConnections.incrementAndGet();
        StringBuilder received = new StringBuilder();
        int[] served = new int[1];
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(ignored -> closed());
        socket.handler(
                chunk -> {
                    received.append(chunk.toString(StandardCharsets.ISO_8859_1));
                    Optional<Request> next = request(connection, served[0] + 1, received);
                    while (next.isPresent()) {
                        Request request = next.get();
                        received.delete(0, request.bytes().length());
                        served[0]++;
                        mRequests.add(request);
                        mScript.respond(request, socket);
                        next = request(connection, served[0] + 1, received);
                    }
                });
    }

    private void closed() {
        mOpenConnections.decrementAndGet();
        mClosed.set(true);
    }

    private static Optional<Request> request(int connection, int number, StringBuilder received) {
        int headEnd = received.indexOf(HEAD_END);
        if (headEnd < 0) {
            return Optional.empty();
        }
        String head = received.substring(0, headEnd);
        Matcher length = LENGTH.matcher(head);
        int bodyStart = headEnd + HEAD_END.length();
        int end = bodyStart + (length.find() ? Integer.parseInt(length.group(1)) : 0);
        return received.length() < end
                ? Optional.empty()
                : Optional.of(
                        new Request(connection, number, head, received.substring(bodyStart, end)));
    }
}
