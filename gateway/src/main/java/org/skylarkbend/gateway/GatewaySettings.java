package org.skylarkbend.gateway;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.SiteLimits;

/**
 * Settings of a gateway.
 *
 * @param vm name of the VM that the gateway runs on
 * @param dataCentre data centre of the VM
 * @param callers address to listen on for callers
 * @param relay address to listen on for other gateways
 * @param ready address of the readiness check
 * @param readyPath path of the readiness check
 * @param metricsPort port of the metrics page, on the host of {@code callers}
 * @param controlHosts hosts of some control VMs, used for the first connection
 * @param feedPort port on which control VMs accept connections of gateways
 * @param headers names of the HTTP headers
 * @param budgets limits on retries, rates and the use of old weights
 * @param graceMilliseconds time from a shutdown request until the process must have ended
 */
public record GatewaySettings(
        ObjectName vm,
        ObjectName dataCentre,
        ListenAddress callers,
        ListenAddress relay,
        ListenAddress ready,
        String readyPath,
        int metricsPort,
        List<String> controlHosts,
        int feedPort,
        HeaderNames headers,
        Budgets budgets,
        long graceMilliseconds) {
    private static final long STALE_RETRY_MILLISECONDS = 300;

    /**
     * Limits on retries, rates and the use of old weights.
     *
     * @param retriesPerCall fraction of a retry that each call adds to the retry budget
     * @param retryBudgetCapacity capacity of the retry budget
     * @param limitSlack amount by which customers may exceed their rate limits
     * @param oldWeightsGraceMilliseconds time for which new calls may still use old weights after
     *     newer ones were announced
     * @param callerConnections number of connections of callers beyond which idle ones are closed
     * @param managementConnections the same for the readiness check and for the metrics page
     */
    public record Budgets(
            double retriesPerCall,
            double retryBudgetCapacity,
            SiteLimits.Slack limitSlack,
            long oldWeightsGraceMilliseconds,
            int callerConnections,
            int managementConnections) {}

    /** Address to listen on. */
    public record ListenAddress(String host, int port) {}

    /** Creates the settings with a copy of {@code controlHosts}. */
    public GatewaySettings {
        controlHosts = List.copyOf(controlHosts);
    }

    /** Returns the retry delay for callers that are refused because no catalog is known yet. */
    public long staleRetryMilliseconds() {
        return STALE_RETRY_MILLISECONDS;
    }
}
