package org.skylarkbend.moves;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.TrafficMove;

/**
 * A published move with the data needed to schedule it.
 *
 * @param move the move as published
 * @param endpoints the endpoints of the route's pool
 * @param loadMilliseconds the time that one endpoint takes to load the new version
 * @param versionsOfOtherRoutes the versions that other routes use on the same endpoints and that
 *     must stay loaded
 */
public record MovePlan(
        TrafficMove move,
        List<ObjectName> endpoints,
        long loadMilliseconds,
        List<ObjectName> versionsOfOtherRoutes) {
    /** Copies and sorts the lists. */
    public MovePlan {
        endpoints = endpoints.stream().distinct().sorted().toList();
        versionsOfOtherRoutes = versionsOfOtherRoutes.stream().distinct().sorted().toList();
    }
}
