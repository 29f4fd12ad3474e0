package org.skylarkbend.standin;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.base.Utf8;
import org.skylarkbend.base.telemetry.Tracing;

/**
 * The HTTP server that the fakes share. It records the requests it received, can make connections
 * stop responding, and continues the trace of a request.
 *
 * <p>A server belongs to the task that created it and runs on the context of that task.
 */
public final class StandinServer {
    /** The header of the responses of an endpoint that is about to stop. */
    public static final String LEAVING_HEADER = "Server-Leaving";

    private static final StructuredLog LOG = StructuredLog.of(StandinServer.class);
    private static final int MAX_RECORDED_REQUESTS = 200;
    private static final int MAX_RECORDED_CHARS = 8 * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final TextMapGetter<HttpServerRequest> HEADER_GETTER = new HeaderGetter();

    private final Vertx mVertx;
    private final Tracing mTracing;
    private final Set<HttpConnection> mOpen = new HashSet<>();
    private final Set<HttpConnection> mSilent = new HashSet<>();
    private final Deque<String> mReceived = new ArrayDeque<>();
    private long mReceivedChars;
    private HttpServer mServer;

    /** Creates a server that does not listen yet. */
    public StandinServer(Vertx vertx, Tracing tracing) {
        mVertx = vertx;
        mTracing = tracing;
    }

    /**
     * Starts to listen and passes each request with its body to a handler. A request that makes the
     * handler throw an exception gets a response with status 400.
     *
     * @param name the kind of fake, for the log
     * @param host the IP address to listen on
     * @param port the port; 0 selects a free port
     * @param onRequest the handler, which receives each request and its body
     */
    public Future<Integer> listen(
            String name, String host, int port, BiConsumer<HttpServerRequest, String> onRequest) {
        mServer =
                mVertx.createHttpServer(
                        new HttpServerOptions()
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setTcpNoDelay(true));
        mServer.connectionHandler(this::trackConnection);
        mServer.requestHandler(request -> receive(request, onRequest));
        return mServer.listen(port, host)
                .map(HttpServer::actualPort)
                .onSuccess(actual -> LOG.info("standin." + name + ".started", "port", actual));
    }

    /** Returns the port that the server listens on. Valid only while it listens. */
    public int port() {
        return mServer.actualPort();
    }

    /**
     * Makes every open connection except one stop responding permanently. New connections are not
     * affected.
     */
    public void silenceOthers(HttpConnection kept) {
        mSilent.addAll(mOpen);
        mSilent.remove(kept);
    }

    /** Returns whether a connection has stopped responding. */
    public boolean isSilent(HttpConnection connection) {
        return mSilent.contains(connection);
    }

    /**
     * Returns the heads and bodies of the last requests as they were received, for tests that
     * search them.
     */
    public String received() {
        return String.join("\n", mReceived);
    }

    /**
     * Starts a server span for a request. Its parent is the span that the request headers name, if
     * any.
     */
    public Span startSpan(String name, HttpServerRequest request) {
        Context parent = mTracing.propagator().extract(Context.root(), request, HEADER_GETTER);
        return mTracing.tracer()
                .spanBuilder(name)
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .startSpan();
    }

    /** Sends a JSON response, unless the connection has stopped responding. */
    public void respond(HttpServerRequest request, int httpStatus, JsonObject body) {
        if (!isSilent(request.connection())) {
            request.response()
                    .setStatusCode(httpStatus)
                    .putHeader("Content-Type", "application/json")
                    .end(body.encode());
        }
    }

    /** Stops listening and closes all connections. */
    public Future<Void> close() {
        return mServer == null ? Future.succeededFuture() : mServer.close();
    }

    private void trackConnection(HttpConnection connection) {
        mOpen.add(connection);
        connection.closeHandler(
                ignored -> {
                    mOpen.remove(connection);
                    mSilent.remove(connection);
                });
    }

    private void receive(
            HttpServerRequest request, BiConsumer<HttpServerRequest, String> onRequest) {
        request.body()
                .onSuccess(
                        body -> {
                            Utf8.decode(body.getBytes(), ErrorKind.BAD_REQUEST)
                                    .match(
                                            text -> received(request, text, onRequest),
                                            error -> refuse(request, error));
                        });
    }

    private void received(
            HttpServerRequest request,
            String text,
            BiConsumer<HttpServerRequest, String> onRequest) {
        recordRequest(request, text);
        if (!isSilent(request.connection())) {
            handle(request, text, onRequest);
        }
    }

    private void refuse(HttpServerRequest request, SkylarkError error) {
        recordRequest(request, error.detail());
        respond(request, error.kind().httpStatus(), new JsonObject().put("error", error.detail()));
    }

    private void handle(
            HttpServerRequest request,
            String text,
            BiConsumer<HttpServerRequest, String> onRequest) {
        try {
            onRequest.accept(request, text);
        } catch (RuntimeException e) {
            respond(request, 400, new JsonObject().put("error", String.valueOf(e)));
        }
    }

    private void recordRequest(HttpServerRequest request, String body) {
        StringBuilder head = new StringBuilder();
        head.append(request.method()).append(' ').append(request.uri()).append('\n');
        for (Map.Entry<String, String> header : request.headers()) {
            head.append(header.getKey()).append(": ").append(header.getValue()).append('\n');
        }
        String received = head.append('\n').append(body).toString();
        mReceived.add(received);
        mReceivedChars += received.length();
        while (mReceived.size() > MAX_RECORDED_REQUESTS || mReceivedChars > MAX_RECORDED_CHARS) {
            mReceivedChars -= mReceived.remove().length();
        }
    }

    /** Gives the trace propagator access to the headers of a request. */
    private static final class HeaderGetter implements TextMapGetter<HttpServerRequest> {
        @Override
        public Iterable<String> keys(HttpServerRequest request) {
            return request.headers().names();
        }

        @Override
        public String get(HttpServerRequest request, String name) {
            return request == null ? null : request.getHeader(name);
        }
    }
}
