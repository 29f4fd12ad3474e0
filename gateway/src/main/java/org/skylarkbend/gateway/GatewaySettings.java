package org.skylarkbend.gateway;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.SiteLimits;

/**
 * The settings of a gateway.
 *
 * @param vm its VM
 * @param dataCentre the data centre of its VM
 * @param callers where it listens for callers
 * @param ready where it says whether it is ready
 * @param readyPath the path of the question
 * @param metricsPort where it shows its metrics, on the same host
 * @param controlHosts some control VMs
 * @param feedPort where control VMs listen for gateways
 * @param headers the names of headers
 * @param budgets what the gateways of a site share, and for how long things hold
 * @param graceMilliseconds how long it has to end its calls when it is told to end
 */
public record GatewaySettings(
        ObjectName vm,
        ObjectName dataCentre,
        Listening callers,
        Listening ready,
        String readyPath,
        int metricsPort,
        List<String> controlHosts,
        int feedPort,
        HeaderNames headers,
        Budgets budgets,
        long graceMilliseconds) {
    private static final long STALE_RETRY_MILLISECONDS = 300;

    /**
     * What the gateways of a site share, and for how long things hold.
     *
     * @param retriesPerCall which part of a retry each call adds
     * @param mostSavedRetries how many retries may be saved up
     * @param limitSlack by how much customers may exceed their limits
     * @param weightsLifeMilliseconds how long calls may begin on weights after newer ones were
     *     named
     */
    public record Budgets(
            double retriesPerCall,
            double mostSavedRetries,
            SiteLimits.Slack limitSlack,
            long weightsLifeMilliseconds) {}

    /** An address to listen on. */
    public record Listening(String host, int port) {}

    /** Copies the list. */
    public GatewaySettings {
        controlHosts = List.copyOf(controlHosts);
    }

    /** When a caller should come back that came before a catalog was known. */
    public long staleRetryMilliseconds() {
        return STALE_RETRY_MILLISECONDS;
    }
}
