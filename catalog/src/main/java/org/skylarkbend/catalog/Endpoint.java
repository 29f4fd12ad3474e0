package org.skylarkbend.catalog;

import java.util.Map;

/**
 * Running instance of a process that serves calls of a site, as listed by the platform.
 *
 * @param id ID of the instance
 * @param service name of its service
 * @param host host that it listens on
 * @param port port that it listens on
 * @param zone data centre that it runs in
 * @param softwareVersion version of its program
 * @param slots number of calls that it runs concurrently
 * @param leaving true if it is about to stop
 * @param startedEpochMilliseconds start time; 0 if unknown
 * @param weights versions of the loaded weights, by model
 * @param coldMilliseconds time for which it still bears few calls, when it was listed; between
 *     control and gateways {@link SiteMessage.ColdEndpoints} transfers it
 */
public record Endpoint(
        String id,
        String service,
        String host,
        int port,
        String zone,
        String softwareVersion,
        int slots,
        boolean leaving,
        long startedEpochMilliseconds,
        Map<String, Long> weights,
        long coldMilliseconds) {
    /** Creates an endpoint that bears all calls. */
    public Endpoint(
            String id,
            String service,
            String host,
            int port,
            String zone,
            String softwareVersion,
            int slots,
            boolean leaving,
            long startedEpochMilliseconds,
            Map<String, Long> weights) {
        this(
                id,
                service,
                host,
                port,
                zone,
                softwareVersion,
                slots,
                leaving,
                startedEpochMilliseconds,
                weights,
                0);
    }

    /** Creates an endpoint with a copy of {@code weights}. */
    public Endpoint {
        weights = Map.copyOf(weights);
    }

    /** Returns an identifier that is unique to this instance even if its ID is reused. */
    public String incarnation() {
        return id + "@" + startedEpochMilliseconds;
    }

    /** Returns a copy with other weights. */
    public Endpoint withWeights(Map<String, Long> versions) {
        return new Endpoint(
                id,
                service,
                host,
                port,
                zone,
                softwareVersion,
                slots,
                leaving,
                startedEpochMilliseconds,
                versions,
                coldMilliseconds);
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
