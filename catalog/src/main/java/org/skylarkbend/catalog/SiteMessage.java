package org.skylarkbend.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** Message between control and the gateways of a site. */
public sealed interface SiteMessage {
    /** Addresses of the control VMs. */
    record ControlVms(List<String> addresses) implements SiteMessage {
        /** Creates the message with a copy of {@code addresses}. */
        public ControlVms {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * Endpoints listed by the platform.
     *
     * @param endpoints all listed endpoints
     * @param loading incarnations of the endpoints that are currently loading other weights
     */
    record Endpoints(List<Endpoint> endpoints, Set<String> loading) implements SiteMessage {
        /** Creates the message with copies of the collections. */
        public Endpoints {
            endpoints = List.copyOf(endpoints);
            loading = Set.copyOf(loading);
        }
    }

    /** Newest announced version of the weights of each model. */
    record WeightsNamed(Map<String, Long> versions) implements SiteMessage {
        /** Creates the message with a copy of the map. */
        public WeightsNamed {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * Work in flight at endpoints. A gateway sends its own work to control, and control sends each
     * gateway the sum of the work of all others.
     */
    record WorkUnderWay(Map<String, EndpointWork> byIncarnation) implements SiteMessage {
        /** Creates the message with a copy of the map. */
        public WorkUnderWay {
            byIncarnation = Map.copyOf(byIncarnation);
        }
    }
}
