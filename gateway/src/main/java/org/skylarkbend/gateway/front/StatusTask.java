package org.skylarkbend.gateway.front;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.gateway.GatewaySettings;
import org.skylarkbend.intake.ManagementServer;

/** Serves the readiness check. */
public final class StatusTask extends VerticleBase {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    private final GatewaySettings mSettings;
    private final MetricRegistry mMetrics;
    private Context mContext;
    private boolean mReady;

    /**
     * Creates a task that reports "not ready" until {@link #postReady} is called.
     *
     * @param settings address and path of the check, and its number of connections
     * @param metrics registry of the metrics of the server
     */
    public StatusTask(GatewaySettings settings, MetricRegistry metrics) {
        mSettings = settings;
        mMetrics = metrics;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        return ManagementServer.create(
                        vertx,
                        "readiness",
                        mSettings.budgets().managementConnections(),
                        mMetrics,
                        this::handle)
                .listen(mSettings.ready().port(), mSettings.ready().host());
    }

    /** Sets the readiness of the gateway. May be called from any thread. */
    public void postReady(boolean ready) {
        mContext.runOnContext(ignored -> mReady = ready);
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(mSettings.readyPath())) {
            request.response()
                    .setStatusCode(mReady ? OK : UNAVAILABLE)
                    .end(mReady ? "ready\n" : "not ready\n");
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
