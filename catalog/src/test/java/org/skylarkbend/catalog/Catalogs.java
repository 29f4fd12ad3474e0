package org.skylarkbend.catalog;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Creates small catalogs for tests. */
final class Catalogs {
    private Catalogs() {}

    static Route route(String name, String host, String prefix, String service) {
        return new Route(
                name,
                host,
                prefix,
                CallKind.REPEATABLE,
                1_000,
                100,
                0,
                List.of(new Route.Target(service, 100)),
                2,
                false,
                false,
                false);
    }

    static Catalog of(List<Route> routes, Customer... customers) {
        return new Catalog(
                1,
                routes,
                Map.of("desk", new Service("desk", 100, Optional.empty(), Optional.empty())),
                List.of(customers),
                CallerLimits.defaults());
    }

    static Customer customer(String name, String... digests) {
        return new Customer(name, List.of(digests), OptionalInt.empty(), false, 1_000, 2_000, 200);
    }
}
