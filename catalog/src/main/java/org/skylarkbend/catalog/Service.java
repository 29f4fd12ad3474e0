package org.skylarkbend.catalog;

import java.util.Optional;

/**
 * Group of endpoints that serve the same calls.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that an endpoint accepts from all callers
 *     together
 * @param engine properties of its engines, if the endpoints are engines
 * @param store address of the store, if the service is a store of cached prompt parts
 * @param warmUp what its endpoints bear after their start, if that is limited
 */
public record Service(
        String name,
        int maxConnections,
        Optional<Engine> engine,
        Optional<Store> store,
        Optional<WarmUp> warmUp) {
    /** Creates a service whose endpoints bear all calls from their start on. */
    public Service(
            String name, int maxConnections, Optional<Engine> engine, Optional<Store> store) {
        this(name, maxConnections, engine, store, Optional.empty());
    }

    /**
     * What an endpoint bears after its start.
     *
     * @param milliseconds time from its start until it bears all calls
     * @param callsPerSecond calls that it bears in a second until then, from all gateways
     */
    public record WarmUp(long milliseconds, double callsPerSecond) {}

    /** Address of a store of cached prompt parts. */
    public record Store(String host, int port) {
        /** Returns the address in the form sent to engines, {@code host:port}. */
        public String address() {
            return host + ":" + port;
        }
    }

    /**
     * Properties that all engines of a service have in common.
     *
     * @param slots number of calls that an engine runs concurrently
     * @param cacheTokens number of tokens that fit into the cache of an engine
     */
    public record Engine(int slots, long cacheTokens) {}
}
