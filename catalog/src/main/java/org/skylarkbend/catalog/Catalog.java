package org.skylarkbend.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration by which a site serves calls, identified by a number.
 *
 * @param number revision; the catalog with the highest number is in force
 * @param routes routes of the site
 * @param services services by name
 * @param customers customers; if there are none, no call needs a key
 * @param callerLimits limits on the requests of callers
 */
public record Catalog(
        long number,
        List<Route> routes,
        Map<String, Service> services,
        List<Customer> customers,
        CallerLimits callerLimits) {
    /** Creates a catalog with copies of the collections. */
    public Catalog {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        customers = List.copyOf(customers);
    }

    /** Returns the customers by the digests of their keys. */
    public Map<String, Customer> customersByKeyDigest() {
        Map<String, Customer> byDigest = new HashMap<>();
        for (Customer customer : customers) {
            customer.keyDigests().forEach(digest -> byDigest.put(digest, customer));
        }
        return byDigest;
    }

    /** Returns the address of the store of cached prompt parts, if the site has one. */
    public Optional<Service.Store> store() {
        return services.values().stream().flatMap(service -> service.store().stream()).findFirst();
    }

    /** Returns the first problem found, or empty if the catalog is valid. */
    public Optional<String> problem() {
        return CatalogChecker.problemOf(this);
    }
}
