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

/**
 * What a control process of a site is made of.
 *
 * @param vertx runs its tasks
 * @param self the address of this VM, which is its name as well
 * @param contacts the addresses of some control VMs
 * @param founds whether the contacts begin a log together, if none of them holds one
 * @param ports where control VMs listen, the same on all of them
 * @param dataFolder the folder on the disk that lasts
 * @param dropSilentAfterMilliseconds when a member that stays silent makes room for another
 * @param command how engines are commanded
 * @param limitSlack by how much customers may exceed their limits
 * @param reader reads the documents of operators
 * @param endpoints where the endpoints are listed
 * @param engines how engines are ordered
 * @param metrics where its metrics are
 * @param monotonic a clock that never steps back
 */
public record SiteControlParts(
        Vertx vertx,
        ObjectName self,
        Set<ObjectName> contacts,
        boolean founds,
        Ports ports,
        Path dataFolder,
        long dropSilentAfterMilliseconds,
        Command command,
        SiteLimits.Slack limitSlack,
        CatalogReader reader,
        EndpointSource endpoints,
        EngineCommands engines,
        MetricRegistry metrics,
        MillisecondClock monotonic) {
    /**
     * The ports of control.
     *
     * @param agreement for the members of the log
     * @param feed for gateways
     */
    public record Ports(int agreement, int feed) {}

    /**
     * How engines are commanded.
     *
     * @param takeoverMilliseconds how long an engine is left alone after another commander may have
     *     ordered it
     * @param enginesCheckFencing whether engines refuse orders of former commanders
     */
    public record Command(long takeoverMilliseconds, boolean enginesCheckFencing) {}

    /** Copies the set. */
    public SiteControlParts {
        contacts = Set.copyOf(contacts);
    }
}
