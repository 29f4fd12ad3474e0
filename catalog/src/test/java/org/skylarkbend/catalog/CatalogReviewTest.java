package org.skylarkbend.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.testng.annotations.Test;

/** Tests what operators are told of a catalog before it is published. */
public class CatalogReviewTest {
    private static final Service DESK = new Service("desk", 1, Optional.empty(), Optional.empty());

    @Test
    public void aSoundCatalogHasNoFindings() {
        Catalog catalog = catalog(2, List.of(route("a", "a.example", "/x/", 100)), customer(30));
        CatalogReview review = CatalogReview.of(catalog, Optional.of(catalog(1, catalog)));
        assertThat(review).isEqualTo(new CatalogReview(List.of(), List.of(), List.of(), List.of()));
    }

    @Test
    public void allErrorsAreNamedAtOnce() {
        Catalog catalog =
                catalog(
                        2,
                        List.of(
                                route("a", "a.example", "x", 100),
                                route("b", "b.example", "/x/", 0),
                                route("c", "c.example", "/x/", 100),
                                route("d", "c.example", "/x/", 100)),
                        customer(30));
        assertThat(CatalogReview.of(catalog, Optional.empty()).errors()).hasSize(3);
    }

    @Test
    public void entriesThatNoCallCanMatchAreNamed() {
        Catalog catalog =
                new Catalog(
                        2,
                        List.of(route("a", "a.example:80", "/x?/", 100)),
                        Map.of(
                                "desk",
                                DESK,
                                "other",
                                new Service("other", 1, Optional.empty(), Optional.empty())),
                        List.of(new Customer("c", List.of(), OptionalInt.empty(), false, 0, 0, 1)),
                        CallerLimits.defaults());
        assertThat(CatalogReview.of(catalog, Optional.empty()).neverMatching())
                .anyMatch(finding -> finding.contains("ports are left out"))
                .anyMatch(finding -> finding.contains("no path begins with"))
                .anyMatch(finding -> finding.contains("service other is used by no route"))
                .anyMatch(finding -> finding.contains("customer c has no key"))
                .hasSize(4);
    }

    @Test
    public void limitsThatCannotHoldTogetherAreNamed() {
        Route late =
                new Route(
                        "late",
                        "a.example",
                        "/x/",
                        CallKind.ONCE,
                        100,
                        200,
                        0,
                        List.of(new Route.Target("desk", 1)),
                        1,
                        false,
                        false,
                        false);
        Catalog catalog =
                new Catalog(
                        2,
                        List.of(late),
                        Map.of("desk", DESK),
                        List.of(
                                new Customer(
                                        "small",
                                        List.of("k"),
                                        OptionalInt.empty(),
                                        false,
                                        10,
                                        60,
                                        100),
                                new Customer(
                                        "unlimited",
                                        List.of("l"),
                                        OptionalInt.empty(),
                                        false,
                                        0,
                                        60,
                                        1)),
                        new CallerLimits(64 * 1024, 1, 20_000, 15_000));
        assertThat(CatalogReview.of(catalog, Optional.empty()).contradictions()).hasSize(5);
    }

    @Test
    public void whatDiffersFromTheCatalogInForceIsNamedWithoutKeys() {
        Catalog older = catalog(5, List.of(route("a", "a.example", "/x/", 100)), customer(30));
        Catalog newer = catalog(5, List.of(route("b", "a.example", "/x/", 100)), customer(60));
        assertThat(CatalogReview.of(newer, Optional.of(older)).differences())
                .containsExactly(
                        "number 5 is not higher than 5, so nothing would change",
                        "route b is added",
                        "route a is removed",
                        "customer c is changed");
    }

    private static Catalog catalog(long number, Catalog like) {
        return new Catalog(
                number, like.routes(), like.services(), like.customers(), like.callerLimits());
    }

    private static Catalog catalog(long number, List<Route> routes, Customer customer) {
        return new Catalog(
                number, routes, Map.of("desk", DESK), List.of(customer), CallerLimits.defaults());
    }

    private static Customer customer(long burst) {
        return new Customer("c", List.of("key"), OptionalInt.empty(), false, 10, burst, 10);
    }

    private static Route route(String name, String host, String prefix, long timeout) {
        return new Route(
                name,
                host,
                prefix,
                CallKind.ONCE,
                timeout,
                50,
                0,
                List.of(new Route.Target("desk", 1)),
                1,
                false,
                false,
                false);
    }
}
