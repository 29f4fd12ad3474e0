package org.skylarkbend.gateway;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/**
 * The settings of a gateway.
 *
 * @param vm its VM
 * @param dataCentre the data centre of its VM
 * @param host where it listens for callers
 * @param port the port for callers
 * @param readyHost where it says whether it is ready
 * @param readyPort the port for that
 * @param readyPath the path of the question
 * @param metricsPort where it shows its metrics, on the same host
 * @param controlHosts some control VMs
 * @param feedPort where control VMs listen for gateways
 * @param headers the names of headers
 * @param retriesPerCall which part of a retry each call adds
 * @param mostSavedRetries how many retries may be saved up
 * @param graceMilliseconds how long it has to end its calls when it is told to end
 */
public record GatewaySettings(
        ObjectName vm,
        ObjectName dataCentre,
        String host,
        int port,
        String readyHost,
        int readyPort,
        String readyPath,
        int metricsPort,
        List<String> controlHosts,
        int feedPort,
        HeaderNames headers,
        double retriesPerCall,
        double mostSavedRetries,
        long graceMilliseconds) {
    private static final long STALE_RETRY_MILLISECONDS = 300;

    /** Copies the list. */
    public GatewaySettings {
        controlHosts = List.copyOf(controlHosts);
    }

    /** When a caller should come back that came before a catalog was known. */
    public long staleRetryMilliseconds() {
        return STALE_RETRY_MILLISECONDS;
    }
}
