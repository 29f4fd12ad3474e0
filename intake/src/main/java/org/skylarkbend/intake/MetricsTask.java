package org.skylarkbend.intake;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.MetricsPage;

/** Serves the metrics of a process over HTTP on a separate address. */
public final class MetricsTask extends VerticleBase {
    private static final int NOT_FOUND = 404;
    private static final String PATH = "/metrics";

    private final String mHost;
    private final int mPort;
    private final int mMaxConnections;
    private final MetricRegistry mMetrics;
    private final MetricsPage mPage;

    /**
     * Creates a task that listens once it is deployed.
     *
     * @param host host to listen on
     * @param port port to listen on
     * @param maxConnections number of connections that are kept
     * @param metrics registry that is served
     */
    public MetricsTask(String host, int port, int maxConnections, MetricRegistry metrics) {
        mHost = host;
        mPort = port;
        mMaxConnections = maxConnections;
        mMetrics = metrics;
        mPage = new MetricsPage(metrics, MillisecondClock.monotonic());
    }

    @Override
    public Future<?> start() {
        return ManagementServer.create(vertx, "metrics", mMaxConnections, mMetrics, this::respond)
                .listen(mPort, mHost);
    }

    private void respond(HttpServerRequest request) {
        if (request.path().equals(PATH)) {
            request.response()
                    .putHeader("Content-Type", "text/plain; version=0.0.4")
                    .end(mPage.text());
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
