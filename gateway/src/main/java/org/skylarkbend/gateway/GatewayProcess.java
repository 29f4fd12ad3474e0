package org.skylarkbend.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Function;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.CatalogReader;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.front.EndpointAccess;
import org.skylarkbend.gateway.front.GatewayReports;
import org.skylarkbend.gateway.front.GatewayTask;
import org.skylarkbend.gateway.front.StatusTask;
import org.skylarkbend.gateway.link.SiteLinkDecider;
import org.skylarkbend.gateway.link.SiteLinkTask;
import org.skylarkbend.intake.CallerBudgets;
import org.skylarkbend.intake.MetricsTask;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.moves.rollout.RolloutOutcomes;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.quarantine.CrashEvidence;

/**
 * Runs the tasks of a gateway: the connection to control, the calls, the readiness check and the
 * metrics page.
 */
public final class GatewayProcess {
    /**
     * Bodies of requests and responses may take this part of the heap. Their buffers are copied as
     * they grow.
     */
    private static final int HEAP_PARTS_OF_BODIES = 3;

    private final Vertx mVertx;
    private final GatewaySettings mSettings;
    private final GatewayTask mGateway;
    private final StatusTask mStatus;
    private final MetricsTask mMetrics;
    private final SiteLinkTask mLink;

    /**
     * Creates a gateway that is not yet running.
     *
     * @param vertx the Vert.x instance that runs the tasks
     * @param settings the settings of the gateway
     * @param reader reads the catalog documents that operators publish
     * @param endpoints creates, with the registry of its metrics, the list of endpoints that is
     *     read directly while control is unreachable
     */
    public GatewayProcess(
            Vertx vertx,
            GatewaySettings settings,
            CatalogReader reader,
            Function<MetricRegistry, EndpointSource> endpoints) {
        mVertx = vertx;
        mSettings = settings;
        MillisecondClock clock = MillisecondClock.monotonic();
        MetricRegistry metrics = new MetricRegistry();
        mMetrics =
                new MetricsTask(
                        settings.callers().host(),
                        settings.metricsPort(),
                        settings.budgets().managementConnections(),
                        metrics);
        mStatus = new StatusTask(settings, metrics);
        mGateway =
                new GatewayTask(
                        settings,
                        budgets(metrics),
                        metrics,
                        clock,
                        EndpointDialer.direct(vertx, EndpointAccess.CONNECT_TIMEOUT_MILLISECONDS),
                        this::sendToLimitOwner,
                        new GatewayReports(
                                this::sendWork,
                                this::sendOutcomes,
                                this::sendCrashEvidence,
                                this::sendRelayOffer),
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
                        endpoints.apply(metrics),
                        clock,
                        metrics.counter("link_messages_unreadable"));
    }

    private static CallerBudgets budgets(MetricRegistry metrics) {
        long heldBytes = Runtime.getRuntime().maxMemory() / HEAP_PARTS_OF_BODIES;
        return CallerBudgets.ofHeap(
                "gateway", new ByteBudget("gateway_held", heldBytes, metrics), metrics);
    }

    private void sendToLimitOwner(LimitMessage message) {
        mLink.sendToLimitOwner(message);
    }

    private void sendWork(WorkUnderWay work) {
        mLink.sendWork(work);
    }

    private void sendOutcomes(RolloutOutcomes outcomes) {
        mLink.sendOutcomes(outcomes);
    }

    private void sendCrashEvidence(CrashEvidence evidence) {
        mLink.sendCrashEvidence(evidence);
    }

    private void sendRelayOffer(RelayOffered offer) {
        mLink.sendRelayOffer(offer);
    }

    /** Starts the tasks. The connection to control starts last, after its listeners. */
    public Future<Void> start() {
        return mVertx.deployVerticle(mStatus)
                .compose(id -> mVertx.deployVerticle(mMetrics))
                .compose(id -> mVertx.deployVerticle(mGateway))
                .compose(id -> mVertx.deployVerticle(mLink))
                .mapEmpty();
    }

    /** Replaces the control VMs after a change of the settings. */
    public void changeControlHosts(List<String> hosts) {
        mLink.postSeeds(hosts);
    }

    /**
     * Drains the gateway. The returned future completes when no call is in flight or the grace
     * period is almost over.
     */
    public Future<Void> drain() {
        return mGateway.drain(DrainSchedule.within(mSettings.graceMilliseconds()));
    }
}
