package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.catalog.Service.Store;
import org.skylarkbend.gateway.DrainSchedule;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.Test;

/** Tests planned stops of gateways and of engines, and keys that are withdrawn, during calls. */
public class PlannedStopTest extends GatewayFixture {
    private static final String KEY = "secret";
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");
    private static final Route ROUTE = Routes.of(CallKind.ONCE, 2, false);
    private static final Route REPEATABLE = Routes.of(CallKind.REPEATABLE, 2, false);
    private static final Map<String, String> PROMPT =
            Map.of("Model", "m", "Tokens", "6800,1", "Parts", "shared:6300,own:500");

    /** Guards against a planned stop that cuts the calls which wait for tokens. */
    @Test
    public void aCallThatWaitsForTokensWhenTheDrainEndsIsRefusedAsNotRun() throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "done"));
        await(endpoint.listen(mVertx));
        publish(ROUTE, endpoint);
        mGateway.catalogChanged(catalog(KEY, 100));
        // The gateway sends "100 Continue" in the event loop turn in which the call begins to wait.
        Promise<Void> arrived = Promise.promise();
        Future<Response> waiting =
                request(Map.of("Expect", "100-continue"))
                        .compose(
                                request ->
                                        request.continueHandler(arrived::tryComplete)
                                                .send()
                                                .compose(GatewayFixture::toResponse));
        await(arrived.future());
        Future<Void> drained = mGateway.drain(new DrainSchedule(50, 100));
        Response response = await(waiting);
        assertThat(response.status()).isIn(429, 503);
        assertThat(response.body().orElse("")).contains("not_run");
        assertThat(response.head()).containsKey("retry-after");
        await(drained);
        assertThat(endpoint.heads()).isEmpty();
    }

    /** Guards against a call that is cut while its engine saves the prompt and shuts down. */
    @Test
    public void aCallWhoseEngineLeavesDuringItsSaveEndsThereAndTheNextNamesTheStoreElsewhere()
            throws Exception {
        int store =
                await(mVertx.createNetServer().connectHandler(s -> {}).listen(0, "127.0.0.1"))
                        .actualPort();
        FakeEndpoint leaving = new FakeEndpoint("leaving", request -> {});
        FakeEndpoint other = new FakeEndpoint("other", FakeEndpoint.respondingWith(200, "other"));
        Promise<HttpServerRequest> saving = Promise.promise();
        leaving.behave(saving::tryComplete);
        await(leaving.listen(mVertx));
        await(other.listen(mVertx));
        publish(REPEATABLE, engine(leaving, false));
        mGateway.catalogChanged(catalogWithStore(store));
        Future<Response> running = send(PROMPT);
        HttpServerRequest request = await(saving.future());
        mGateway.endpointsChanged(
                new Endpoints(List.of(engine(leaving, true), engine(other, false)), Set.of()));
        awaitUntil(() -> namesStore(other, store));
        assertThat(running.isComplete()).as("the call at the engine that leaves").isFalse();
        request.response()
                .putHeader("Call-Id", "c1")
                .putHeader("Seal", "seal")
                .end("saved and done");
        assertThat(await(running).body()).contains("saved and done");
        assertThat(leaving.heads()).hasSize(1);
        assertThat(other.heads())
                .allSatisfy(
                        head ->
                                assertThat(head.getOrDefault("cache-source", ""))
                                        .isNotEqualTo(leaving.listed().address()));
    }

    /** Guards against a key that goes on to work on a connection from before its withdrawal. */
    @Test
    public void aWithdrawnKeyIsRefusedFromTheNextCallOnAlsoOnAKeptConnection() throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "done"));
        await(endpoint.listen(mVertx));
        publish(ROUTE, endpoint);
        RawClient kept = await(RawClient.connect(mVertx, mPort));
        assertThat(nextStatus(kept)).isEqualTo("200");
        mGateway.catalogChanged(catalog("another", 0));
        awaitUntil(() -> "401".equals(nextStatus(kept)));
        int ran = endpoint.heads().size();
        assertThat(nextStatus(kept)).isEqualTo("401");
        assertThat(endpoint.heads()).hasSize(ran);
    }

    /** Calls on a connection, and returns the status of the response. */
    private String nextStatus(RawClient caller) {
        int before = caller.received().length();
        caller.send(
                "POST /x/y HTTP/1.1\r\nHost: a.example\r\nCall-Id: c1\r\nAuthorization: Bearer "
                        + KEY
                        + "\r\nContent-Length: 0\r\n\r\n");
        try {
            awaitUntil(() -> isWhole(caller.received().substring(before)));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
        return caller.received().substring(before).split(" ")[1];
    }

    private static boolean isWhole(String response) {
        Matcher length = LENGTH.matcher(response);
        int headEnd = response.indexOf("\r\n\r\n");
        return headEnd > 0
                && length.find()
                && response.length() == headEnd + 4 + Integer.parseInt(length.group(1));
    }

    /** Calls, and returns whether the endpoint was sent to the store. */
    private boolean namesStore(FakeEndpoint endpoint, int store) {
        try {
            call(PROMPT);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
        return endpoint.heads().stream()
                .anyMatch(head -> ("127.0.0.1:" + store).equals(head.get("cache-store")));
    }

    private static Endpoint engine(FakeEndpoint endpoint, boolean leaving) {
        Endpoint listed = endpoint.listed();
        return new Endpoint(
                listed.id(),
                listed.service(),
                listed.host(),
                listed.port(),
                listed.zone(),
                listed.softwareVersion(),
                listed.slots(),
                leaving,
                listed.startedEpochMilliseconds(),
                Map.of("m", 1L));
    }

    private static Catalog catalog(String key, long unitsPerSecond) {
        return catalog(ROUTE, key, unitsPerSecond, Optional.empty());
    }

    private static Catalog catalogWithStore(int port) {
        return catalog(REPEATABLE, KEY, 0, Optional.of(new Store("127.0.0.1", port)));
    }

    private static Catalog catalog(
            Route route, String key, long unitsPerSecond, Optional<Store> store) {
        Customer customer =
                new Customer(
                        "one",
                        List.of(Sha256.hexOf(key)),
                        OptionalInt.empty(),
                        false,
                        unitsPerSecond,
                        10 * unitsPerSecond,
                        1);
        return new Catalog(
                2,
                List.of(route),
                Map.of(
                        "desk",
                        new Service("desk", 10, Optional.empty(), Optional.empty()),
                        "store",
                        new Service("store", 10, Optional.empty(), store)),
                List.of(customer),
                CallerLimits.defaults());
    }
}
