package org.skylarkbend.router.watch;

import java.util.Map;
import org.skylarkbend.base.ObjectName;

/** Snapshot of the status of all endpoints. */
public record EndpointsView(Map<ObjectName, EndpointStatus> statuses) {
    /** Copies the map. */
    public EndpointsView {
        statuses = Map.copyOf(statuses);
    }

    /** Returns a snapshot without any endpoint. */
    public static EndpointsView unknown() {
        return new EndpointsView(Map.of());
    }

    /** Returns the status of an endpoint, or {@link EndpointStatus#unknown()} if it has none. */
    public EndpointStatus of(ObjectName endpoint) {
        return statuses.getOrDefault(endpoint, EndpointStatus.unknown());
    }
}
