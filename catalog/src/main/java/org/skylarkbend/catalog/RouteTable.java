package org.skylarkbend.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Lookup table that finds the route of a call: among the routes of its host, the one with the
 * longest matching path prefix.
 */
public final class RouteTable {
    private final Map<String, Map<String, Route>> mRoutesByHost = new HashMap<>();

    /** Creates a table of the given routes. */
    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            mRoutesByHost
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /**
     * Returns the route for a host and a path, if there is one. The port and case of the host are
     * ignored.
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routes = mRoutesByHost.get(withoutPort(host));
        if (routes == null) {
            return Optional.empty();
        }
        int end = path.lastIndexOf('/');
        while (end >= 0) {
            Route route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
