package org.skylarkbend.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** What control and the gateways of a site tell one another. */
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

    /**
     * The work under way at endpoints. A gateway tells control of its own; control tells a gateway
     * of that of all others.
     */
    record WorkUnderWay(Map<String, EndpointWork> byIncarnation) implements SiteMessage {
        /** Copies the map. */
        public WorkUnderWay {
            byIncarnation = Map.copyOf(byIncarnation);
        }
    }
}
