package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;

/** HTTP endpoint whose behavior is set by the test. */
public final class FakeEndpoint {
    /** Header names used in the tests. */
    public static final HeaderNames NAMES =
            new HeaderNames(
                    "Call-Id",
                    "Wait-Milliseconds",
                    "Seal",
                    "Not-Run",
                    "Expect-Instance",
                    "Customer",
                    "Load",
                    "Leaving",
                    "Brittle",
                    "Last-Event-Id",
                    new HeaderNames.Engine(
                            "Model",
                            "Tokens",
                            "Parts",
                            "Urgency",
                            "Cache-Scope",
                            "Expect-Version",
                            "Cache-Source",
                            "Cache-Store"),
                    java.util.Set.of("cache-scope", "customer"));

    private final String mId;
    private final int mPort = LoopbackPorts.next();
    private final List<Map<String, String>> mHeads = new CopyOnWriteArrayList<>();
    private volatile Consumer<HttpServerRequest> mBehavior;

    /** Creates an endpoint with the given behavior. It does not listen yet. */
    public FakeEndpoint(String id, Consumer<HttpServerRequest> behavior) {
        mId = id;
        mBehavior = behavior;
    }

    /** Starts to listen on the loopback interface. */
    public Future<?> listen(Vertx vertx) {
        return vertx.createHttpServer()
                .requestHandler(
                        request -> {
                            Map<String, String> head = new java.util.TreeMap<>();
                            request.headers()
                                    .forEach(
                                            header ->
                                                    head.put(
                                                            header.getKey().toLowerCase(),
                                                            header.getValue()));
                            mHeads.add(head);
                            request.endHandler(ignored -> mBehavior.accept(request));
                        })
                .listen(mPort, "127.0.0.1");
    }

    /** Replaces the behavior for all later requests. */
    public void behave(Consumer<HttpServerRequest> behavior) {
        mBehavior = behavior;
    }

    /** Returns the headers of each request so far, by lower-case name. */
    public List<Map<String, String>> heads() {
        return mHeads;
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return new Endpoint(mId, "desk", "127.0.0.1", mPort, "z", "v1", 6, false, 1, Map.of());
    }

    /** Returns a behavior that sends a valid response. */
    public static Consumer<HttpServerRequest> respondingWith(int status, String body) {
        return request -> head(request, status).end(body);
    }

    /** Returns a behavior that refuses each call as not run. */
    public static Consumer<HttpServerRequest> refusing() {
        return request -> head(request, 503).putHeader("Not-Run", "1").end();
    }

    /** Returns a behavior that sends a valid response and says that the endpoint shuts down. */
    public static Consumer<HttpServerRequest> leaving() {
        return request -> head(request, 200).putHeader("Leaving", "1").end("last");
    }

    /** Returns a behavior that refuses each call and asks for none for a time. */
    public static Consumer<HttpServerRequest> pausing(String seconds) {
        return request ->
                head(request, 503)
                        .putHeader("Not-Run", "1")
                        .putHeader("Retry-After", seconds)
                        .end();
    }

    /** Returns a behavior that closes the connection without a response. */
    public static Consumer<HttpServerRequest> breaking() {
        return request -> request.connection().close();
    }

    /**
     * Returns a behavior that streams events after the last one the caller received, up to {@code
     * toEvent}. It then ends the response, or closes the connection in the middle of the next
     * event.
     */
    public static Consumer<HttpServerRequest> streaming(int toEvent, boolean whole) {
        return request -> {
            String last = request.getHeader("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last) + 1;
            var response = head(request, 200).setChunked(true);
            StringBuilder events = new StringBuilder();
            for (int event = from; event <= toEvent; event++) {
                events.append("id: ").append(event).append("\ndata: ").append(event).append("\n\n");
            }
            if (whole) {
                response.end(events.toString());
            } else {
                response.write(events + "id: " + (toEvent + 1) + "\nda")
                        .onComplete(done -> request.connection().close());
            }
        };
    }

    /** Returns a behavior that streams one event, and closes the connection after a future. */
    public static Consumer<HttpServerRequest> streamingUntil(Future<Void> broken) {
        return request -> {
            head(request, 200).setChunked(true).write("id: 1\ndata: 1\n\n");
            broken.onSuccess(ignored -> request.connection().close());
        };
    }

    private static io.vertx.core.http.HttpServerResponse head(
            HttpServerRequest request, int status) {
        return request.response()
                .setStatusCode(status)
                .putHeader("Call-Id", String.valueOf(request.getHeader("Call-Id")))
                .putHeader("Seal", "seal");
    }
}
