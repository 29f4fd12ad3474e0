package org.skylarkbend.gateway.front;

import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.RouteTable;

/**
 * A catalog, ready to admit calls by.
 *
 * @param catalog the catalog
 * @param routes finds routes
 * @param customers the customers by the digests of their keys
 */
public record ServingState(Catalog catalog, RouteTable routes, Map<String, Customer> customers) {
    /** Copies the map. */
    public ServingState {
        customers = Map.copyOf(customers);
    }

    /** The state of a catalog. */
    public static ServingState of(Catalog catalog) {
        return new ServingState(
                catalog, new RouteTable(catalog.routes()), catalog.customersByKeyDigest());
    }

    /** An admitted call: its route and whose it is. */
    public record Admission(Route route, Optional<Customer> customer) {}

    /**
     * Admits a call or says why not.
     *
     * @param host the host that the caller asked for
     * @param path the path, without a query
     * @param keyDigest the digest of the caller's key, if it sent one
     */
    public Result<Admission> admit(String host, String path, Optional<String> keyDigest) {
        Optional<Route> route = routes.find(host, path);
        if (route.isEmpty()) {
            return Result.failure(ErrorKind.ROUTE_UNKNOWN, "no route has this host and path");
        }
        Optional<Customer> customer = keyDigest.map(customers::get);
        boolean needsKey = !catalog.customers().isEmpty() && !route.get().open();
        if (needsKey && customer.isEmpty()) {
            return Result.failure(ErrorKind.KEY_REFUSED, "give a key of a customer");
        }
        return Result.success(new Admission(route.get(), customer));
    }
}
