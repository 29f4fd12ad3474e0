package org.skylarkbend.intake;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.wire.RefusedBody;
import org.skylarkbend.wire.RequestDecoder;

/**
 * HTTP server for readiness checks and metrics, whose requests have no bodies.
 *
 * <p>It listens where callers can reach it too. So that it takes neither memory nor descriptors nor
 * time from the calls, it has accounts of its own, small ones, and few connections.
 */
public final class ManagementServer {
    /** Room for several heads of the maximum size with short lines, each on 0.8 MB of heap. */
    private static final long LINES_BYTES = 4 * 1024 * 1024;

    /** Room for the undecoded bytes of some 60 connections that are not read. */
    private static final long UNDECODED_BYTES = 4 * 1024 * 1024;

    /** Time in which a head must arrive, and in which a peer must read some of a response. */
    private static final long STALLED_MILLISECONDS = 10_000;

    private ManagementServer() {}

    /**
     * Creates a server, which is confined to the task that creates it.
     *
     * @param vertx runs the server
     * @param name name of the server, the prefix of its metrics
     * @param maxConnections number of connections that are kept; beyond it, idle ones are closed
     * @param metrics registry of the metrics {@code NAME_connections_closed}, {@code
     *     NAME_connections_refused}, {@code NAME_lines_bytes} and {@code NAME_undecoded_bytes}
     * @param handler receives the requests; the body of a request is discarded
     */
    public static HttpServer create(
            Vertx vertx,
            String name,
            int maxConnections,
            MetricRegistry metrics,
            Handler<HttpServerRequest> handler) {
        CallerConnections connections =
                new CallerConnections(
                        name,
                        new CallerMemory(budgets(name, metrics), MillisecondClock.monotonic()),
                        maxConnections,
                        connection -> {},
                        metrics);
        return RequestDecoder.createServer(
                vertx,
                new HttpServerOptions().setHttp2ClearTextEnabled(false),
                connection ->
                        connections.opened(
                                connection, () -> STALLED_MILLISECONDS, () -> STALLED_MILLISECONDS),
                request -> {
                    connections.begun(request);
                    if (hasBody(request)) {
                        RefusedBody.closeConnection(vertx, request);
                    }
                    handler.handle(request);
                });
    }

    private static CallerBudgets budgets(String name, MetricRegistry metrics) {
        return new CallerBudgets(
                new ByteBudget(name + "_lines", LINES_BYTES, metrics),
                new ByteBudget(name + "_bodies", 0, metrics),
                new ByteBudget(name + "_undecoded", UNDECODED_BYTES, metrics));
    }

    private static boolean hasBody(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        return request.headers().contains(HttpHeaders.TRANSFER_ENCODING)
                || length != null && !length.equals("0");
    }
}
