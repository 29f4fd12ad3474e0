package org.skylarkbend.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests the lookup of routes. */
public class RouteTableTest {
    private final RouteTable mTable =
            new RouteTable(
                    List.of(
                            Catalogs.route("wide", "a.example", "/x/", "desk"),
                            Catalogs.route("narrow", "a.example", "/x/y/", "desk"),
                            Catalogs.route("all", "b.example", "/", "desk")));

    @Test
    public void theLongestPrefixThatBeginsThePathWins() {
        assertThat(name("a.example", "/x/y/z")).contains("narrow");
        assertThat(name("a.example", "/x/yz")).contains("wide");
    }

    @Test
    public void aPathThatNoPrefixBeginsHasNoRoute() {
        assertThat(name("a.example", "/x")).isEmpty();
        assertThat(name("a.example", "/")).isEmpty();
        assertThat(name("c.example", "/x/y/")).isEmpty();
    }

    @Test
    public void thePortAndTheCaseOfTheHostDoNotMatter() {
        assertThat(name("B.Example:8080", "/anything")).contains("all");
    }

    private Optional<String> name(String host, String path) {
        return mTable.find(host, path).map(Route::name);
    }
}
