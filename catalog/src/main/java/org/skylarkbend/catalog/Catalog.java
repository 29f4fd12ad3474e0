package org.skylarkbend.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All that a site serves by, under one number.
 *
 * @param number its number; the highest is in force
 * @param routes the routes
 * @param services the services by name
 * @param customers the customers; none means that no call needs a key
 * @param callerLimits what callers may send
 */
public record Catalog(
        long number,
        List<Route> routes,
        Map<String, Service> services,
        List<Customer> customers,
        CallerLimits callerLimits) {
    /** Copies the collections. */
    public Catalog {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        customers = List.copyOf(customers);
    }

    /** The customers by the digests of their keys. */
    public Map<String, Customer> customersByKeyDigest() {
        Map<String, Customer> byDigest = new HashMap<>();
        for (Customer customer : customers) {
            customer.keyDigests().forEach(digest -> byDigest.put(digest, customer));
        }
        return byDigest;
    }

    /** The store of cached parts of prompts, if the site has one. */
    public Optional<Service.Store> store() {
        return services.values().stream().flatMap(service -> service.store().stream()).findFirst();
    }

    /** What is wrong with it, if anything. */
    public Optional<String> problem() {
        return CatalogChecker.problemOf(this);
    }
}
