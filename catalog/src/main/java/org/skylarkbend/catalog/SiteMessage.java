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
     * All endpoints listed by the platform, for a gateway that has just connected.
     *
     * @param number number of the list, which increases by 1 with each change
     * @param endpoints all listed endpoints
     */
    record EndpointsListed(long number, Endpoints endpoints) implements SiteMessage {}

    /**
     * Change of the list of endpoints.
     *
     * @param number number of the list after the change; the change applies to the list before it
     * @param difference difference between the two lists
     */
    record EndpointsChanged(long number, Endpoints.Difference difference) implements SiteMessage {}

    /**
     * Division of calls between the versions of services. Its name sorts before that of the list of
     * endpoints, so that a gateway that connects knows it first.
     */
    record CallSplits(List<VersionSplit> splits) implements SiteMessage {
        /** Creates the message with a copy of the list. */
        public CallSplits {
            splits = List.copyOf(splits);
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
     *
     * @param byIncarnation work by endpoint
     * @param nextInMilliseconds time until control sends the next sum; 0 in messages of gateways
     */
    record WorkUnderWay(Map<String, EndpointWork> byIncarnation, long nextInMilliseconds)
            implements SiteMessage {
        /** Creates the message with a copy of the map. */
        public WorkUnderWay {
            byIncarnation = Map.copyOf(byIncarnation);
        }
    }

    /**
     * Offer of a gateway to open connections to endpoints for other gateways.
     *
     * @param relay the gateway
     * @param isOpen false if it cannot do so at present
     */
    record RelayOffered(Relay relay, boolean isOpen) implements SiteMessage {}

    /**
     * Gateways of the site.
     *
     * @param relays those that open connections to endpoints for others
     * @param gateways number of all
     */
    record RelaysListed(List<Relay> relays, int gateways) implements SiteMessage {
        /** Creates the message with a copy of the list. */
        public RelaysListed {
            relays = List.copyOf(relays);
        }
    }

    /**
     * Endpoints that bear few calls because they have just started. Its name sorts before that of
     * the list of endpoints, so that a gateway knows it before it uses them.
     *
     * @param milliseconds time for which they still do, by incarnation
     */
    record ColdEndpoints(Map<String, Long> milliseconds) implements SiteMessage {
        /** Creates the message with a copy of the map. */
        public ColdEndpoints {
            milliseconds = Map.copyOf(milliseconds);
        }
    }

    /**
     * Data centres whose endpoints get no calls. Its name sorts before that of the list of
     * endpoints, so that a gateway that connects knows it first.
     */
    record DataCentresEvacuated(Set<String> dataCentres) implements SiteMessage {
        /** Creates the message with a copy of the set. */
        public DataCentresEvacuated {
            dataCentres = Set.copyOf(dataCentres);
        }
    }
}
