package org.skylarkbend.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** What control tells every gateway of a site. */
public sealed interface SiteMessage {
    /** The control VMs, as host and port of their feed. */
    record ControlVms(List<String> addresses) implements SiteMessage {
        /** Copies the list. */
        public ControlVms {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * The endpoints that the platform lists.
     *
     * @param endpoints all of them
     * @param loading the incarnations that are loading other weights now
     */
    record Endpoints(List<Endpoint> endpoints, Set<String> loading) implements SiteMessage {
        /** Copies the collections. */
        public Endpoints {
            endpoints = List.copyOf(endpoints);
            loading = Set.copyOf(loading);
        }
    }

    /** The newest version of weights of each model. */
    record WeightsNamed(Map<String, Long> versions) implements SiteMessage {
        /** Copies the map. */
        public WeightsNamed {
            versions = Map.copyOf(versions);
        }
    }
}
