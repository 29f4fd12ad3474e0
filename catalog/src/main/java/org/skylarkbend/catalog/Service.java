package org.skylarkbend.catalog;

import java.util.Optional;

/**
 * Endpoints that serve the same calls.
 *
 * @param name its name
 * @param maxConnections how many connections one endpoint accepts from all callers together
 * @param engine what is known of its engines, if its endpoints are engines
 * @param store where it keeps cached parts of prompts, if it is a store of these
 */
public record Service(
        String name, int maxConnections, Optional<Engine> engine, Optional<Store> store) {
    /** The address of a store. */
    public record Store(String host, int port) {
        /** The address as engines are told it. */
        public String address() {
            return host + ":" + port;
        }
    }

    /**
     * What engines of a service have in common.
     *
     * @param slots how many calls an engine runs at once
     * @param cacheTokens how many tokens fit into an engine's memory
     */
    public record Engine(int slots, long cacheTokens) {}
}
