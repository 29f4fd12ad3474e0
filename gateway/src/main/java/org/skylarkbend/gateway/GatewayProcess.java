package org.skylarkbend.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.CatalogReader;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.front.GatewayTask;
import org.skylarkbend.gateway.front.StatusTask;
import org.skylarkbend.gateway.link.SiteLinkDecider;
import org.skylarkbend.gateway.link.SiteLinkTask;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.wire.MetricsTask;

/** One gateway process: the link to control, the calls, and the answers about itself. */
public final class GatewayProcess {
    /** The balancer notices within two questions, one a second, that a gateway is not ready. */
    private static final long LEAST_DRAIN_MILLISECONDS = 2_800;

    private static final long END_MARGIN_MILLISECONDS = 500;

    private final Vertx mVertx;
    private final GatewaySettings mSettings;
    private final GatewayTask mGateway;
    private final StatusTask mStatus;
    private final MetricsTask mMetrics;
    private final SiteLinkTask mLink;

    /**
     * A process that does not run yet.
     *
     * @param vertx runs its tasks
     * @param settings its settings
     * @param reader reads the documents of operators
     * @param endpoints where endpoints are listed, for as long as control is out of reach
     */
    public GatewayProcess(
            Vertx vertx, GatewaySettings settings, CatalogReader reader, EndpointSource endpoints) {
        mVertx = vertx;
        mSettings = settings;
        MillisecondClock clock = MillisecondClock.monotonic();
        MetricRegistry metrics = new MetricRegistry();
        mMetrics = new MetricsTask(settings.callers().host(), settings.metricsPort(), metrics);
        mStatus = new StatusTask(settings);
        mGateway =
                new GatewayTask(
                        settings,
                        metrics,
                        clock,
                        this::sendToLimitOwner,
                        this::sendWork,
                        mStatus::postReady);
        RouterHello hello =
                new RouterHello(
                        settings.vm(),
                        settings.dataCentre(),
                        MillisecondClock.wall().nowMilliseconds());
        mLink =
                new SiteLinkTask(
                        new SiteLinkDecider(hello, settings.controlHosts(), settings.feedPort()),
                        mGateway,
                        reader,
                        endpoints,
                        clock);
    }

    private void sendToLimitOwner(LimitMessage message) {
        mLink.sendToLimitOwner(message);
    }

    private void sendWork(WorkUnderWay work) {
        mLink.sendWork(work);
    }

    /** Starts the tasks, the link last. */
    public Future<Void> start() {
        return mVertx.deployVerticle(mStatus)
                .compose(id -> mVertx.deployVerticle(mMetrics))
                .compose(id -> mVertx.deployVerticle(mGateway))
                .compose(id -> mVertx.deployVerticle(mLink))
                .mapEmpty();
    }

    /** Takes the control VMs of changed settings. */
    public void changeControlHosts(List<String> hosts) {
        mLink.postSeeds(hosts);
    }

    /** Serves on until callers have gone elsewhere, then ends. */
    public Future<Void> drain() {
        return mGateway.drain(
                LEAST_DRAIN_MILLISECONDS, mSettings.graceMilliseconds() - END_MARGIN_MILLISECONDS);
    }
}
