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
 */
public record Service(
        String name, int maxConnections, Optional<Engine> engine, Optional<Store> store) {
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
