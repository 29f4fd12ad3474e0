package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the scope of cached prompt parts in what reaches endpoints. */
public class CustomerWallTest extends GatewayFixture {
    private static final Map<String, String> WHOLE =
            Map.of("Model", "m", "Tokens", "100,10", "Parts", "a:50,b:50");

    private boolean mIsIsolated;
    private boolean mIsOtherIsolated;

    @BeforeMethod
    public void openCustomers() {
        mIsIsolated = false;
        mIsOtherIsolated = false;
    }

    @Override
    protected boolean isIsolated() {
        return mIsIsolated;
    }

    @Override
    protected List<Customer> otherCustomers() {
        return List.of(
                new Customer("two", List.of(), OptionalInt.empty(), mIsOtherIsolated, 0, 0, 1));
    }

    /** Guards against cached parts of an isolated customer that calls of others find. */
    @Test
    public void everyCallOfAnIsolatedCustomerHasItsScopeWhateverItsHeadersAre() throws Exception {
        mIsIsolated = true;
        FakeEndpoint fake = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "x"));
        await(fake.listen(mVertx));
        publish(Routes.of(CallKind.REPEATABLE, 1, false), engine(fake));
        for (String absent : List.of("", "Model", "Tokens", "Parts")) {
            Map<String, String> headers = new HashMap<>(WHOLE);
            headers.remove(absent);
            assertScope(fake, headers);
        }
        assertScope(fake, Map.of());
        assertScope(fake, Map.of("Parts", "a:50,b:50"));
        assertScope(fake, Map.of("Model", "m", "Tokens", "many", "Parts", "a:x,,b"));
        assertScope(fake, Map.of("Cache-Scope", "shared-3", "Parts", "a:50,b:50"));
        assertScope(fake, Map.of("Connection", "Cache-Scope", "Parts", "a:50,b:50"));
    }

    /** Guards against parts that a customer made before a change isolated it. */
    @Test
    public void othersLeaveTheScopeOfACustomerThatAChangeIsolates() throws Exception {
        FakeEndpoint fake = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "x"));
        await(fake.listen(mVertx));
        Route route = Routes.of(CallKind.REPEATABLE, 1, false);
        publish(route, engine(fake));
        call(WHOLE);
        mIsOtherIsolated = true;
        publish(route, engine(fake));
        call(WHOLE);
        List<String> scopes = scopesAt(fake);
        assertThat(scopes.get(1)).isNotEqualTo(scopes.get(0));
        assertThat(scopes.get(1)).startsWith("shared").doesNotContain("two");
    }

    /** Guards against a stream that is resumed among the parts of a customer isolated meanwhile. */
    @Test
    public void aStreamResumedAfterAChangeUsesTheScopeOfThatChange() throws Exception {
        List<String> scopes = scopesOfAStreamBrokenAfter(() -> mIsOtherIsolated = true);
        assertThat(scopes.get(1)).isNotEqualTo(scopes.get(0)).startsWith("shared");
    }

    /** Guards against a resumed stream of a customer that leaves parts in the shared scope. */
    @Test
    public void aStreamOfACustomerIsolatedMeanwhileIsResumedInItsOwnScope() throws Exception {
        List<String> scopes = scopesOfAStreamBrokenAfter(() -> mIsIsolated = true);
        assertThat(scopes.get(0)).startsWith("shared");
        assertThat(scopes.get(1)).startsWith("only-one-");
    }

    /** Returns the scopes of the two attempts of a stream that breaks after a change. */
    private List<String> scopesOfAStreamBrokenAfter(Runnable change) throws Exception {
        Promise<Void> broken = Promise.promise();
        FakeEndpoint first = new FakeEndpoint("e1", FakeEndpoint.streamingUntil(broken.future()));
        FakeEndpoint second = new FakeEndpoint("e2", FakeEndpoint.streaming(3, true));
        await(first.listen(mVertx));
        await(second.listen(mVertx));
        Route route = Routes.of(CallKind.STREAM, 2, true);
        publish(route, engine(first));
        Future<Response> response = send(WHOLE);
        awaitUntil(() -> !first.heads().isEmpty());
        change.run();
        publish(route, engine(first), engine(second));
        broken.complete();
        assertThat(await(response).body().orElseThrow()).contains("id: 1").contains("id: 3");
        return List.of(scopesAt(first).get(0), scopesAt(second).get(0));
    }

    private static List<String> scopesAt(FakeEndpoint endpoint) {
        return endpoint.heads().stream().map(head -> head.get("cache-scope")).toList();
    }

    private static Endpoint engine(FakeEndpoint fake) {
        Endpoint listed = fake.listed();
        return new Endpoint(
                listed.id(),
                listed.service(),
                listed.host(),
                listed.port(),
                "z",
                "v1",
                6,
                false,
                1,
                Map.of("m", 3L));
    }

    private void assertScope(FakeEndpoint endpoint, Map<String, String> headers) throws Exception {
        assertThat(call(headers).status()).as("%s", headers).isEqualTo(200);
        Map<String, String> head = endpoint.heads().get(endpoint.heads().size() - 1);
        assertThat(head.get("cache-scope")).as("%s", headers).startsWith("only-one-").contains("3");
    }
}
