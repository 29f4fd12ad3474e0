package org.skylarkbend.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Validates a catalog, including the references between its parts. */
final class CatalogChecker {
    private CatalogChecker() {}

    /** Returns the first problem found, or empty if the catalog is valid. */
    static Optional<String> problemOf(Catalog catalog) {
        return problemsOf(catalog).stream().findFirst();
    }

    /** Returns all problems; of each route the first one. */
    static List<String> problemsOf(Catalog catalog) {
        List<String> problems = new ArrayList<>();
        Set<String> hostsAndPaths = new HashSet<>();
        for (Route route : catalog.routes()) {
            problemOf(catalog, route).ifPresent(problems::add);
            if (!hostsAndPaths.add(route.host() + " " + route.pathPrefix())) {
                problems.add(
                        "route \"" + route.name() + "\" has the host and path of another route");
            }
        }
        problemOfSharedKeys(catalog).ifPresent(problems::add);
        return problems;
    }

    private static Optional<String> problemOf(Catalog catalog, Route route) {
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            return of(route, "has a path prefix that does not begin and end with a slash");
        }
        if (route.timeoutMilliseconds() <= 0) {
            return of(route, "has no timeout");
        }
        long weights = 0;
        for (Route.Target target : route.targets()) {
            if (!catalog.services().containsKey(target.service())) {
                return of(route, "names the unknown service \"" + target.service() + "\"");
            }
            if (target.weight() < 0) {
                return of(route, "has a negative weight");
            }
            weights += target.weight();
        }
        return weights > 0 ? Optional.empty() : of(route, "has weights that add up to 0");
    }

    private static Optional<String> problemOfSharedKeys(Catalog catalog) {
        Map<String, String> customerNamesByDigest = new HashMap<>();
        for (Customer customer : catalog.customers()) {
            for (String digest : customer.keyDigests()) {
                String other = customerNamesByDigest.put(digest, customer.name());
                if (other != null && !other.equals(customer.name())) {
                    return Optional.of(
                            "customers \""
                                    + other
                                    + "\" and \""
                                    + customer.name()
                                    + "\" share a key");
                }
            }
        }
        return Optional.empty();
    }

    private static Optional<String> of(Route route, String problem) {
        return Optional.of("route \"" + route.name() + "\" " + problem);
    }
}
