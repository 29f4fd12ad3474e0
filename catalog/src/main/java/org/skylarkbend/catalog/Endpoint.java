package org.skylarkbend.catalog;

import java.util.Map;

/**
 * One run of a process that serves calls, as the platform lists it.
 *
 * @param id the identity of this run
 * @param service the service that it belongs to
 * @param host where it listens
 * @param port the port
 * @param zone the data centre that it runs in
 * @param softwareVersion the version of its program
 * @param slots how many calls it runs at once
 * @param leaving whether it is about to stop
 * @param bornEpochMilliseconds when it started; 0 where that is not known
 * @param weights the versions of weights that it has loaded, by model
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
        long bornEpochMilliseconds,
        Map<String, Long> weights) {
    /** Copies the map. */
    public Endpoint {
        weights = Map.copyOf(weights);
    }

    /** What tells this run from every other, also where an identity is used again. */
    public String incarnation() {
        return id + "@" + bornEpochMilliseconds;
    }

    /** The same run with other weights. */
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
                bornEpochMilliseconds,
                versions);
    }

    /** Its address. */
    public String address() {
        return host + ":" + port;
    }
}
