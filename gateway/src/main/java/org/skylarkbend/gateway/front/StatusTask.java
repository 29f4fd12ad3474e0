package org.skylarkbend.gateway.front;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.base.telemetry.PrometheusText;
import org.skylarkbend.gateway.GatewaySettings;

/** Answers whether the gateway is ready, and shows its metrics. */
public final class StatusTask extends VerticleBase {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final String METRICS_PATH = "/metrics";

    private final GatewaySettings mSettings;
    private final MetricRegistry mMetrics;
    private Context mContext;
    private boolean mReady;

    /** A task that says "not ready" until it is told otherwise. */
    public StatusTask(GatewaySettings settings, MetricRegistry metrics) {
        mSettings = settings;
        mMetrics = metrics;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        return listen(mSettings.ready().host(), mSettings.ready().port())
                .compose(nothing -> listen(mSettings.callers().host(), mSettings.metricsPort()));
    }

    /** Tells the task whether the gateway is ready. */
    public void postReady(boolean ready) {
        mContext.runOnContext(nothing -> mReady = ready);
    }

    private Future<?> listen(String host, int port) {
        return vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .requestHandler(this::answer)
                .listen(port, host);
    }

    private void answer(HttpServerRequest request) {
        if (request.path().equals(mSettings.readyPath())) {
            request.response()
                    .setStatusCode(mReady ? OK : UNAVAILABLE)
                    .end(mReady ? "ready\n" : "not ready\n");
        } else if (request.path().equals(METRICS_PATH)) {
            request.response()
                    .putHeader("Content-Type", "text/plain")
                    .end(PrometheusText.write(mMetrics));
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
