package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** HTTP client that sends requests to a fake on loopback and waits for the responses. */
public final class FakeCaller {
    /** A response with its headers. */
    public record FakeResponse(int status, String body, Map<String, String> headers) {
        /** Returns a header by its lower-case name. */
        public String header(String name) {
            return headers.get(name);
        }
    }

    private static final long TIMEOUT_SECONDS = 20;

    private final HttpClient mClient;
    private final int mPort;

    /** Creates a client for the fake on a port. */
    public FakeCaller(Vertx vertx, int port) {
        mClient = vertx.createHttpClient();
        mPort = port;
    }

    /**
     * Sends a request and returns the response. Fails if no response arrives within the timeout.
     */
    public FakeResponse send(
            HttpMethod method, String path, Map<String, String> headers, String body)
            throws Exception {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost("127.0.0.1")
                        .setPort(mPort)
                        .setURI(path);
        headers.forEach(options::putHeader);
        return mClient.request(options)
                .compose(
                        request ->
                                request.send(Buffer.buffer(body)).compose(FakeCaller::toResponse))
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Reads the body, from the turn of the event loop in which the response arrives: what arrives
     * before it has a handler is lost.
     */
    private static Future<FakeResponse> toResponse(HttpClientResponse response) {
        return response.body()
                .map(
                        bytes ->
                                new FakeResponse(
                                        response.statusCode(),
                                        bytes.toString(),
                                        headersOf(response)));
    }

    private static Map<String, String> headersOf(HttpClientResponse response) {
        Map<String, String> headers = new java.util.HashMap<>();
        response.headers().forEach((name, value) -> headers.put(name.toLowerCase(), value));
        return Map.copyOf(headers);
    }
}
