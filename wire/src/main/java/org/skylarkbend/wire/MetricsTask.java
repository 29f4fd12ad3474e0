package org.skylarkbend.wire;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.base.telemetry.PrometheusText;

/** Serves the metrics of a process over HTTP on a separate address. */
public final class MetricsTask extends VerticleBase {
    private static final int NOT_FOUND = 404;
    private static final String PATH = "/metrics";

    private final String mHost;
    private final int mPort;
    private final MetricRegistry mMetrics;

    /** Creates a task that listens on this address once it is deployed. */
    public MetricsTask(String host, int port, MetricRegistry metrics) {
        mHost = host;
        mPort = port;
        mMetrics = metrics;
    }

    @Override
    public Future<?> start() {
        return vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .requestHandler(this::respond)
                .listen(mPort, mHost);
    }

    private void respond(HttpServerRequest request) {
        if (request.path().equals(PATH)) {
            request.response()
                    .putHeader("Content-Type", "text/plain; version=0.0.4")
                    .end(PrometheusText.write(mMetrics));
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
