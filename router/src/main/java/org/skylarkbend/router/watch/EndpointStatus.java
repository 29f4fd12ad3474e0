package org.skylarkbend.router.watch;

import java.util.Optional;
import org.skylarkbend.membership.EndpointCondition;

/**
 * Health and load of one endpoint.
 *
 * @param condition its health, which determines whether it may receive new calls
 * @param load its last load report, if any
 */
public record EndpointStatus(EndpointCondition condition, Optional<LoadReport> load) {
    /** Returns the status of an endpoint that has not been polled yet; it is assumed to be live. */
    public static EndpointStatus unknown() {
        return new EndpointStatus(EndpointCondition.LIVE, Optional.empty());
    }

    /** Returns whether the endpoint is live. */
    public boolean isLive() {
        return condition == EndpointCondition.LIVE;
    }
}
