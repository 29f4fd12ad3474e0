package org.skylarkbend.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.publishing.EndpointKind;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.SetReader;
import org.testng.annotations.Test;

/** Tests the access of callers to routes. */
public class AccessDeciderTest {
    private static final String DESK_KEY = "sk-desk";
    private static final String OTHER_KEY = "sk-other";

    private static PublishedSet set(String deskKey) {
        String yaml =
                """
                rates: {day: {tokens_per_second: 10, burst_tokens: 100}}
                customers: {desk: {rate: day}, other: {rate: day}}
                keys:
                  a: {customer: desk, digest_sha256: "%s"}
                  b: {customer: other, digest_sha256: "%s"}
                versions: {v1: {model: m}}
                endpoints:
                  e: {host: h, port: 1, data_centre: d, pool: p, kind: engine, version: v1}
                  s: {host: h, port: 2, data_centre: d, pool: p, kind: service, version: v1}
                routes:
                  chat: {kind: engine, pool: p, version: v1, deadline_milliseconds: 9,
                         customers: [desk]}
                  orders: {kind: service, path_prefix: /orders, pool: p, version: v1,
                           deadline_milliseconds: 9}
                  stock: {kind: service, path_prefix: /orders/stock, pool: p, version: v1,
                          deadline_milliseconds: 9, open: true}
                """
                        .formatted(Sha256.hexOf(deskKey), Sha256.hexOf(OTHER_KEY));
        return SetReader.readText("set", yaml)
                .fold(
                        set -> set,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }

    private static Result<AccessGrant> decide(String key, String model, String path) {
        return new AccessDecider(set(DESK_KEY)).decide(request(key, model, path));
    }

    private static AccessRequest request(String key, String model, String path) {
        return new AccessRequest(
                Optional.ofNullable(key).map(Sha256::hexOf), Optional.ofNullable(model), path);
    }

    private static AccessGrant granted(Result<AccessGrant> result) {
        return result.fold(
                grant -> grant,
                error -> {
                    throw new AssertionError(error.detail());
                });
    }

    private static void assertRefused(Result<AccessGrant> result, ErrorKind kind) {
        result.match(
                grant -> {
                    throw new AssertionError("granted: " + grant);
                },
                error -> assertThat(error.kind()).isEqualTo(kind));
    }

    @Test
    public void aCallRunsForTheCustomerOfItsKey() {
        AccessGrant grant = granted(decide(OTHER_KEY, null, "/orders/7"));
        assertThat(grant.customerScope()).isEqualTo("other");
        assertThat(grant.route().name().value()).isEqualTo("orders");
    }

    @Test
    public void aPathBelongsToTheRouteWithTheLongestPrefixAndEndsAtASlash() {
        assertThat(granted(decide(null, null, "/orders/stock/7")).route().name().value())
                .isEqualTo("stock");
        assertThat(granted(decide(DESK_KEY, null, "/orders/stocks")).route().name().value())
                .isEqualTo("orders");
        assertRefused(decide(DESK_KEY, null, "/ordersx"), ErrorKind.ROUTE_UNKNOWN);
    }

    @Test
    public void onlyAnOpenRouteRunsWithoutAKey() {
        assertThat(granted(decide(null, null, "/orders/stock")).customer()).isEmpty();
        assertRefused(decide(null, null, "/orders"), ErrorKind.KEY_REFUSED);
        assertRefused(decide("sk-guess", "chat", "/x"), ErrorKind.KEY_REFUSED);
        assertRefused(decide("sk-guess", "nothing", "/x"), ErrorKind.KEY_REFUSED);
    }

    @Test
    public void aRouteForOtherCustomersIsForbidden() {
        assertRefused(decide(OTHER_KEY, "chat", "/x"), ErrorKind.ROUTE_FORBIDDEN);
        assertRefused(decide(DESK_KEY, "orders", "/x"), ErrorKind.ROUTE_UNKNOWN);
        assertRefused(decide(DESK_KEY, "No Name!", "/x"), ErrorKind.ROUTE_UNKNOWN);
    }

    @Test
    public void aGrantFallsWithItsKeyButNotOnOpenRoutes() {
        AccessGrant keyed = granted(decide(DESK_KEY, "chat", "/x"));
        AccessGrant open = granted(decide(DESK_KEY, null, "/orders/stock"));
        AccessDecider same = new AccessDecider(set(DESK_KEY));
        AccessDecider withdrawn = new AccessDecider(set("sk-new"));
        assertThat(same.isStillValid(keyed)).isTrue();
        assertThat(withdrawn.isStillValid(keyed)).isFalse();
        assertThat(withdrawn.isStillValid(open)).isTrue();
        assertThat(new AccessDecider(PublishedSet.empty()).isStillValid(open)).isFalse();
    }

    @Test
    public void aWithdrawnKeyEndsAnEnginesResponseButNotTheOutcomeOfAService() {
        assertThat(WithdrawalPolicy.of(EndpointKind.ENGINE, true))
                .isEqualTo(WithdrawalPolicy.END_RESPONSE);
        assertThat(WithdrawalPolicy.of(EndpointKind.SERVICE, true))
                .isEqualTo(WithdrawalPolicy.DELIVER_RESPONSE);
        assertThat(WithdrawalPolicy.of(EndpointKind.SERVICE, false))
                .isEqualTo(WithdrawalPolicy.REFUSE_WAITING);
    }
}
