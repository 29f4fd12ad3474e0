package org.skylarkbend.gateway.front;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.ListedEndpoint;

/** Behaviors of endpoints that fall silent and may go on. */
final class SilentEndpoints {
    /** Header of a call with the time for which the endpoint falls silent. */
    static final String SILENCE_HEADER = "Silence";

    /** The last event of each stream. */
    static final int LAST_EVENT = 3;

    /** Header with the ID of a call. */
    static final String CALL_ID = "Call-Id";

    private SilentEndpoints() {}

    /** Returns the header that asks for a silence. */
    static String silence(long milliseconds) {
        return Long.toString(milliseconds);
    }

    /**
     * Returns a behavior that sends an event, is silent as the call says, and sends the rest. A
     * stream that is resumed begins with the silence.
     */
    static Consumer<HttpServerRequest> streamingWithASilence(Vertx vertx) {
        return request -> {
            HttpServerResponse response = head(request);
            if (request.getHeader("Last-Event-Id") == null) {
                response.write(event(1));
            } else {
                response.writeHead();
            }
            long milliseconds = Long.parseLong(request.getHeader(SILENCE_HEADER));
            vertx.setTimer(milliseconds, id -> endWith(response, events(2)));
        };
    }

    /** Returns a behavior that sends an event and nothing more. */
    static Consumer<HttpServerRequest> mute() {
        return request -> head(request).write(event(1));
    }

    /** Returns a behavior that goes on with a stream after a time. */
    static Consumer<HttpServerRequest> resumingAfter(Vertx vertx, long milliseconds) {
        return request -> {
            int last = Integer.parseInt(request.getHeader("Last-Event-Id"));
            HttpServerResponse response = head(request);
            vertx.setTimer(Math.max(1, milliseconds), id -> endWith(response, events(last + 1)));
        };
    }

    /** Returns a behavior that responds to a call after a time. */
    static Consumer<HttpServerRequest> respondingAfter(
            Vertx vertx, long milliseconds, String body) {
        return request -> {
            HttpServerResponse response = request.response();
            response.putHeader(CALL_ID, request.getHeader(CALL_ID)).putHeader("Seal", "seal");
            vertx.setTimer(milliseconds, id -> endWith(response, body));
        };
    }

    /** Returns the text of the events from {@code first} to the last one. */
    static String events(int first) {
        StringBuilder events = new StringBuilder();
        for (int number = first; number <= LAST_EVENT; number++) {
            events.append(event(number));
        }
        return events.toString();
    }

    /** Returns the text of an event. */
    static String event(int number) {
        return "id: " + number + "\ndata: " + number + "\n\n";
    }

    /** Returns the response to a call, with its head set. */
    static HttpServerResponse head(HttpServerRequest request) {
        return request.response()
                .setChunked(true)
                .putHeader(CALL_ID, request.getHeader(CALL_ID))
                .putHeader("Seal", "seal");
    }

    private static void endWith(HttpServerResponse response, String body) {
        if (!response.closed()) {
            response.end(body);
        }
    }

    /**
     * Endpoint that accepts a single connection, falls silent on it after an event and then sends
     * the rest. All other connections are refused.
     */
    static final class OneConnection {
        private static final int READ_BYTES = 4_096;

        private final ServerSocket mServer;

        OneConnection() throws IOException {
            mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        }

        /** Returns the entry of this endpoint in the list of the platform. */
        Endpoint listed() {
            return ListedEndpoint.of("one", mServer.getLocalPort());
        }

        /** Serves one call. The future completes when its last byte was sent. */
        Future<Void> serve(Vertx vertx, String callId, long silenceMilliseconds) {
            return vertx.executeBlocking(() -> accept(callId))
                    .compose(
                            socket ->
                                    vertx.timer(
                                                    silenceMilliseconds,
                                                    java.util.concurrent.TimeUnit.MILLISECONDS)
                                            .map(ignored -> finish(socket)));
        }

        private Socket accept(String callId) throws IOException {
            Socket socket = mServer.accept();
            mServer.close();
            readRequest(socket.getInputStream());
            String head = "HTTP/1.1 200 OK\r\nCall-Id: " + callId + "\r\nSeal: seal\r\n";
            int bytes = events(1).length();
            write(socket, head + "Content-Length: " + bytes + "\r\n\r\n" + event(1));
            return socket;
        }

        private static void readRequest(InputStream input) throws IOException {
            StringBuilder received = new StringBuilder();
            byte[] buffer = new byte[READ_BYTES];
            while (!received.toString().endsWith("body")) {
                int bytes = input.read(buffer);
                if (bytes < 0) {
                    throw new IOException("the request is incomplete");
                }
                received.append(new String(buffer, 0, bytes, StandardCharsets.ISO_8859_1));
            }
        }

        private static Void finish(Socket socket) {
            try (socket) {
                write(socket, events(2));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return null;
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }
}
