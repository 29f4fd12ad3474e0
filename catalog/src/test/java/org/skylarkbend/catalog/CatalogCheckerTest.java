package org.skylarkbend.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the validation of catalogs. */
public class CatalogCheckerTest {
    @Test
    public void aProperCatalogHasNoProblem() {
        Catalog catalog =
                Catalogs.of(
                        List.of(Catalogs.route("r", "a.example", "/x/", "desk")),
                        Catalogs.customer("one", "d1", "d2"),
                        Catalogs.customer("two", "d3"));
        assertThat(catalog.problem()).isEmpty();
    }

    @Test
    public void aRouteToAnUnknownServiceIsRefused() {
        assertThat(problem(Catalogs.route("r", "a.example", "/x/", "nowhere"))).contains("nowhere");
    }

    @Test
    public void twoRoutesAtTheSamePlaceAreRefused() {
        assertThat(
                        problem(
                                Catalogs.route("r", "a.example", "/x/", "desk"),
                                Catalogs.route("s", "a.example", "/x/", "desk")))
                .contains("host and path of another route");
    }

    @Test
    public void weightsThatAddUpToNothingAreRefused() {
        Route route = Catalogs.route("r", "a.example", "/x/", "desk");
        assertThat(problem(with(route, 1_000, 0))).contains("add up to 0");
    }

    @Test
    public void aRouteWithoutTimeoutIsRefused() {
        Route route = Catalogs.route("r", "a.example", "/x/", "desk");
        assertThat(problem(with(route, 0, 100))).contains("no timeout");
    }

    @Test
    public void aKeyOfTwoCustomersIsRefused() {
        Catalog catalog =
                Catalogs.of(
                        List.of(),
                        Catalogs.customer("one", "shared"),
                        Catalogs.customer("two", "shared"));
        assertThat(catalog.problem()).hasValueSatisfying(p -> assertThat(p).contains("share"));
    }

    private static Route with(Route route, long timeoutMilliseconds, int weight) {
        return new Route(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.kind(),
                timeoutMilliseconds,
                route.targetMilliseconds(),
                route.priority(),
                List.of(new Route.Target("desk", weight)),
                route.maxAttempts(),
                route.keyless(),
                route.carriesPrompt(),
                route.resumable());
    }

    private static String problem(Route... routes) {
        return Catalogs.of(List.of(routes)).problem().orElse("");
    }
}
