package org.skylarkbend.catalog;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Endpoints of a site as listed by the platform.
 *
 * @param endpoints all listed endpoints
 * @param loading incarnations of the endpoints that are currently loading other weights
 */
public record Endpoints(List<Endpoint> endpoints, Set<String> loading) {
    /**
     * Difference between two lists of endpoints.
     *
     * @param changed endpoints that are new or differ from the older list
     * @param removed incarnations that the newer list does not contain
     * @param loading incarnations of the newer list that are loading other weights
     */
    public record Difference(List<Endpoint> changed, Set<String> removed, Set<String> loading) {
        /** Creates the difference with copies of the collections. */
        public Difference {
            changed = List.copyOf(changed);
            removed = Set.copyOf(removed);
            loading = Set.copyOf(loading);
        }
    }

    /** Creates the list with copies of the collections. */
    public Endpoints {
        endpoints = List.copyOf(endpoints);
        loading = Set.copyOf(loading);
    }

    /** Returns a list without endpoints. */
    public static Endpoints none() {
        return new Endpoints(List.of(), Set.of());
    }

    /** Returns the endpoints that bear few calls because they have just started. */
    public SiteMessage.ColdEndpoints cold() {
        Map<String, Long> milliseconds = new LinkedHashMap<>();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.coldMilliseconds() > 0) {
                milliseconds.put(endpoint.incarnation(), endpoint.coldMilliseconds());
            }
        }
        return new SiteMessage.ColdEndpoints(milliseconds);
    }

    /** Returns the difference that turns this list into another one. */
    public Difference differenceTo(Endpoints newer) {
        Map<String, Endpoint> known = byIncarnation();
        List<Endpoint> changed = new ArrayList<>();
        Set<String> removed = new HashSet<>(known.keySet());
        for (Endpoint endpoint : newer.endpoints) {
            String incarnation = endpoint.incarnation();
            removed.remove(incarnation);
            if (!endpoint.equals(known.get(incarnation))) {
                changed.add(endpoint);
            }
        }
        return new Difference(changed, removed, newer.loading);
    }

    /** Returns this list after a change. */
    public Endpoints after(Difference difference) {
        Map<String, Endpoint> endpointsByIncarnation = byIncarnation();
        endpointsByIncarnation.keySet().removeAll(difference.removed());
        difference
                .changed()
                .forEach(endpoint -> endpointsByIncarnation.put(endpoint.incarnation(), endpoint));
        return new Endpoints(List.copyOf(endpointsByIncarnation.values()), difference.loading());
    }

    private Map<String, Endpoint> byIncarnation() {
        Map<String, Endpoint> endpointsByIncarnation = new LinkedHashMap<>();
        endpoints.forEach(endpoint -> endpointsByIncarnation.put(endpoint.incarnation(), endpoint));
        return endpointsByIncarnation;
    }
}
