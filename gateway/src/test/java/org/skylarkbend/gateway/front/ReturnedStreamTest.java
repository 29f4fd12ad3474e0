package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests resumable streams that go back to an endpoint that was stopped for its silence. */
public class ReturnedStreamTest extends GatewayFixture {
    private static final Route ROUTE = Routes.of(CallKind.STREAM, 3, true);
    private static final int STREAMS = 4;

    /** The hand-over and the return of each stream. */
    private static final int RETRIES = 2 * STREAMS;

    /** Longer than the time for which two endpoints may work on a stream. */
    private static final long LATE_MILLISECONDS = 350;

    private static final long SILENCE_MILLISECONDS = 2_500;

    @Override
    protected double retryBudgetCapacity() {
        return RETRIES;
    }

    @DataProvider
    private Object[][] successors() {
        return new Object[][] {
            {"refuses late", late(FakeEndpoint.refusing())},
            {"fails late", late(FakeEndpoint.respondingWith(500, "error"))},
            {"breaks the connection late", late(FakeEndpoint.breaking())}
        };
    }

    /** Guards against a stream that is lost with its successor beside its sound first endpoint. */
    @Test(dataProvider = "successors")
    public void aStreamGoesBackToItsSilentEndpointWhenItsSuccessor(
            String name, Consumer<HttpServerRequest> successor) throws Exception {
        FakeEndpoint silent = listen("silent", SilentEndpoints.streamingWithASilence(mVertx));
        FakeEndpoint other = listen("other", successor);
        List<Future<Response>> responses = handOver(silent, other);
        for (Future<Response> response : responses) {
            assertThat(await(response).body()).contains(SilentEndpoints.events(1));
        }
        assertThat(silent.heads()).hasSize(2 * STREAMS);
        assertThat(other.heads()).hasSize(STREAMS);
    }

    /**
     * Guards against two endpoints that work on a stream for longer than allowed, and against a
     * sound successor that is ended for an endpoint that hangs.
     */
    @Test
    public void aStreamDoesNotGoBackWhileItsSuccessorIsOpen() throws Exception {
        FakeEndpoint silent = listen("silent", SilentEndpoints.mute());
        FakeEndpoint slow =
                listen("slow", SilentEndpoints.resumingAfter(mVertx, SILENCE_MILLISECONDS));
        for (Future<Response> response : handOver(silent, slow)) {
            assertThat(await(response).body()).contains(SilentEndpoints.events(1));
        }
        assertThat(silent.heads()).hasSize(STREAMS);
        assertThat(slow.heads()).hasSize(STREAMS);
    }

    /** Guards against a return beyond the attempts of the route. */
    @Test
    public void aStreamDoesNotGoBackWhenItsRouteAllowsNoFurtherAttempt() throws Exception {
        Route route = Routes.of(CallKind.STREAM, 2, true);
        FakeEndpoint silent = listen("silent", SilentEndpoints.streamingWithASilence(mVertx));
        FakeEndpoint refusing = listen("refusing", late(FakeEndpoint.refusing()));
        publish(route, silent);
        Future<Response> response = send(headers("c1"));
        awaitUntil(() -> silent.heads().size() == 1);
        publish(route, silent, refusing);
        assertThat(await(response).body()).as("a stream that is not whole").isEmpty();
        assertThat(silent.heads()).hasSize(1);
        assertThat(refusing.heads()).hasSize(1);
    }

    private List<Future<Response>> handOver(FakeEndpoint silent, FakeEndpoint other)
            throws Exception {
        publish(ROUTE, silent);
        List<Future<Response>> responses = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            responses.add(send(headers("c" + i)));
        }
        awaitUntil(() -> silent.heads().size() == responses.size());
        publish(ROUTE, silent, other);
        return responses;
    }

    private Consumer<HttpServerRequest> late(Consumer<HttpServerRequest> behavior) {
        return request -> mVertx.setTimer(LATE_MILLISECONDS, id -> behavior.accept(request));
    }

    private FakeEndpoint listen(String id, Consumer<HttpServerRequest> behavior) throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint(id, behavior);
        await(endpoint.listen(mVertx));
        return endpoint;
    }

    private static Map<String, String> headers(String id) {
        return Map.of(
                SilentEndpoints.SILENCE_HEADER,
                SilentEndpoints.silence(SILENCE_MILLISECONDS),
                "Call-Id",
                id);
    }
}
