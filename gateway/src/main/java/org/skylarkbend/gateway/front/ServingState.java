package org.skylarkbend.gateway.front;

import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.CacheScopes;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.RouteTable;

/**
 * Catalog with the lookup tables for admission.
 *
 * @param catalog catalog in force
 * @param routes lookup table of the routes
 * @param customers customers by the digests of their keys
 * @param cacheScopes scopes of cached prompt parts
 */
public record ServingState(
        Catalog catalog,
        RouteTable routes,
        Map<String, Customer> customers,
        CacheScopes cacheScopes) {
    /** Creates the state with a copy of {@code customers}. */
    public ServingState {
        customers = Map.copyOf(customers);
    }

    /** Returns the state for a catalog. */
    public static ServingState of(Catalog catalog) {
        return new ServingState(
                catalog,
                new RouteTable(catalog.routes()),
                catalog.customersByKeyDigest(),
                CacheScopes.of(catalog.customers()));
    }

    /** Route and customer of an admitted call. The customer is empty on routes that need no key. */
    public record Admission(Route route, Optional<Customer> customer) {}

    /**
     * Admits a call. Fails if no route matches, or if the route needs a key and the caller has no
     * valid one.
     *
     * @param host host that the caller requested
     * @param path path without the query
     * @param keyDigest digest of the caller's key, if it sent one
     */
    public Result<Admission> admit(String host, String path, Optional<String> keyDigest) {
        Optional<Route> route = routes.find(host, path);
        if (route.isEmpty()) {
            return Result.failure(ErrorKind.ROUTE_UNKNOWN, "no route has this host and path");
        }
        Optional<Customer> customer = keyDigest.map(customers::get);
        boolean needsKey = !catalog.customers().isEmpty() && !route.get().keyless();
        if (needsKey && customer.isEmpty()) {
            return Result.failure(ErrorKind.KEY_REFUSED, "the key is missing or unknown");
        }
        return Result.success(new Admission(route.get(), customer));
    }
}
