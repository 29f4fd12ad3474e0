package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.ListedEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.LoopbackPorts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls that may be repeated, at endpoints that respond after a silence. */
public class SilentCallTest extends GatewayFixture {
    private static final Route ROUTE = Routes.of(CallKind.REPEATABLE, 3, false);

    /** Longer than the silence after which the call is sent elsewhere. */
    private static final long SLOW_MILLISECONDS = 700;

    private static final int CALLS = 5;

    @DataProvider
    private Object[][] neighbors() {
        return new Object[][] {
            {"none", null},
            {"one that refuses", FakeEndpoint.refusing()},
            {"one that fails", FakeEndpoint.respondingWith(500, "error")},
            {"one that breaks the connection", FakeEndpoint.breaking()}
        };
    }

    /** Guards against a response that is given up although nothing can take its place. */
    @Test(dataProvider = "neighbors")
    public void aSlowResponseArrivesBeside(String name, Consumer<HttpServerRequest> neighbor)
            throws Exception {
        if (neighbor == null) {
            assertAllAreServedBeside();
        } else {
            assertAllAreServedBeside(listen("other", neighbor).listed());
        }
    }

    @Test
    public void aSlowResponseArrivesBesideOneThatRefusesConnections() throws Exception {
        assertAllAreServedBeside(ListedEndpoint.of("closed", LoopbackPorts.next()));
    }

    @Test
    public void theWholeResponseThatComesFirstIsPassedOn() throws Exception {
        FakeEndpoint slow =
                listen("slow", SilentEndpoints.respondingAfter(mVertx, SLOW_MILLISECONDS, "slow"));
        FakeEndpoint slower =
                listen(
                        "slower",
                        SilentEndpoints.respondingAfter(mVertx, 2 * SLOW_MILLISECONDS, "slower"));
        publish(ROUTE, slow);
        Future<Response> response = send(Map.of());
        awaitUntil(() -> slow.heads().size() == 1);
        publish(ROUTE, slow, slower);
        assertThat(await(response).body()).contains("slow");
        assertThat(slower.heads()).hasSize(1);
    }

    @Test
    public void aCallToAMuteEndpointIsAnsweredByAnother() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        FakeEndpoint mute =
                listen(
                        "mute",
                        request ->
                                request.connection()
                                        .closeHandler(ignored -> closed.incrementAndGet()));
        FakeEndpoint sound = listen("sound", FakeEndpoint.respondingWith(200, "done"));
        publish(ROUTE, mute);
        Future<Response> response = send(Map.of());
        awaitUntil(() -> mute.heads().size() == 1);
        publish(ROUTE, mute, sound);
        assertThat(await(response).body()).contains("done");
        awaitUntil(() -> closed.get() == 1);
    }

    /** Guards against a call that runs at more endpoints than its route allows. */
    @Test
    public void aSilentCallRunsAtNoMoreEndpointsThanItsRouteAllows() throws Exception {
        List<FakeEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            endpoints.add(
                    listen(
                            "e" + i,
                            SilentEndpoints.respondingAfter(
                                    mVertx, 2 * SLOW_MILLISECONDS, "done")));
        }
        publish(ROUTE, endpoints.toArray(FakeEndpoint[]::new));
        assertThat(call().body()).contains("done");
        assertThat(endpoints.stream().mapToInt(e -> e.heads().size()).sum()).isLessThan(4);
    }

    private void assertAllAreServedBeside(Endpoint... others) throws Exception {
        FakeEndpoint slow =
                listen("slow", SilentEndpoints.respondingAfter(mVertx, SLOW_MILLISECONDS, "done"));
        publish(ROUTE, slow);
        List<Future<Response>> responses = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            responses.add(send(Map.of("Call-Id", "c" + i)));
        }
        awaitUntil(() -> slow.heads().size() == CALLS);
        List<Endpoint> listed = new ArrayList<>(List.of(others));
        listed.add(slow.listed());
        publish(ROUTE, listed.toArray(Endpoint[]::new));
        int served = 0;
        for (Future<Response> response : responses) {
            served += await(response).status() == 200 ? 1 : 0;
        }
        assertThat(served).as("calls served").isEqualTo(CALLS);
    }

    private FakeEndpoint listen(String id, Consumer<HttpServerRequest> behavior) throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint(id, behavior);
        await(endpoint.listen(mVertx));
        return endpoint;
    }
}
