package org.skylarkbend.control.site;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.Set;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.CatalogReader;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.moves.rollout.ExposureLimit;

/**
 * The settings and services of the control process of a site.
 *
 * @param vertx the Vert.x instance that runs the tasks
 * @param self the address of this VM, which is also its name
 * @param site what the settings say about the site
 * @param bootstrapsLog true if the seeds bootstrap a new log together if none of them has one
 * @param ports the listen ports, the same on all control VMs
 * @param dataFolder the folder on persistent storage
 * @param members the rules for removing members of the replicated log
 * @param engineOrders the options of engine orders
 * @param bounds the bounds on what customers and new versions get
 * @param reader parses the documents of operators
 * @param endpoints lists the endpoints
 * @param engines sends requests and orders to engines
 * @param metrics the metric registry of the process
 * @param clock the monotonic clock of the process
 */
public record SiteControlParts(
        Vertx vertx,
        ObjectName self,
        Site site,
        boolean bootstrapsLog,
        Ports ports,
        Path dataFolder,
        Members members,
        EngineOrderOptions engineOrders,
        Bounds bounds,
        CatalogReader reader,
        EndpointSource endpoints,
        EngineCommands engines,
        MetricRegistry metrics,
        ProcessClock clock) {
    /**
     * The listen ports of a control VM.
     *
     * @param agreement the port for the members of the replicated log
     * @param feed the port for gateways
     */
    public record Ports(int agreement, int feed) {}

    /**
     * The rules for removing members of the replicated log.
     *
     * @param toleratedLosses the number of control VMs that may be lost at the same time; 0 for as
     *     many as the present number of members bears
     * @param removeUnresponsiveAfterMilliseconds the time for which a member may be silent before
     *     it is removed, if there are more members than these losses require, or if another VM can
     *     take its place
     */
    public record Members(int toleratedLosses, long removeUnresponsiveAfterMilliseconds) {}

    /**
     * The bounds on what customers and new versions get.
     *
     * @param limitSlack the margin by which customers may exceed their limits
     * @param rolloutExposure the limit on the calls of a version that is not known to be good
     */
    public record Bounds(SiteLimits.Slack limitSlack, ExposureLimit rolloutExposure) {}

    /**
     * The monotonic clock of a process.
     *
     * @param monotonic the clock
     * @param startedMilliseconds the time of the clock at which the process started
     */
    public record ProcessClock(MillisecondClock monotonic, long startedMilliseconds) {}

    /**
     * The options of engine orders.
     *
     * @param takeoverMilliseconds the time for which a new leader sends no orders to an engine that
     *     a previous leader may have ordered
     * @param oldWeightsMilliseconds the time for which calls may still use old weights after newer
     *     ones were named
     * @param enginesCheckFencing true if engines reject orders with outdated fencing numbers
     */
    public record EngineOrderOptions(
            long takeoverMilliseconds, long oldWeightsMilliseconds, boolean enginesCheckFencing) {}

    /**
     * What the settings say about the site.
     *
     * @param seeds the addresses of some control VMs
     * @param dataCentres the data centres; empty if they are not known
     */
    public record Site(Set<ObjectName> seeds, Set<String> dataCentres) {
        /** Copies the sets. */
        public Site {
            seeds = Set.copyOf(seeds);
            dataCentres = Set.copyOf(dataCentres);
        }
    }

    /** Returns the addresses of some control VMs. */
    Set<ObjectName> seeds() {
        return site.seeds();
    }
}
