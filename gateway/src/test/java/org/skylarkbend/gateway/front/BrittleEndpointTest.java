package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests what callers get from endpoints that fall over if they have to refuse many calls. */
public class BrittleEndpointTest extends GatewayFixture {
    private static final int SLOTS = 6;
    private static final int CALLS = 40;

    /** Longer than calls wait in the gateway for a slot. */
    private static final long WORK_MILLISECONDS = 1_000;

    /** Guards against calls that a brittle endpoint has to refuse because its slots are taken. */
    @Test
    public void callsBeyondTheSlotsOfABrittleEndpointAreRefusedByTheGateway() throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("brittle", saying("5", "ok", 0));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 2, false), endpoint);
        assertThat(call().status()).isEqualTo(200);
        endpoint.behave(saying("5", "ok", WORK_MILLISECONDS));
        List<Future<Response>> responses = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            responses.add(send(Map.of()));
        }
        int served = 0;
        for (Future<Response> response : responses) {
            int status = await(response).status();
            assertThat(status).isIn(200, 503);
            served += status == 200 ? 1 : 0;
        }
        assertThat(served).isEqualTo(SLOTS);
        assertThat(endpoint.heads()).hasSize(1 + SLOTS);
    }

    /** Guards against calls that are refused though a slot becomes free at once. */
    @Test
    public void callsWaitForAWhileUntilASlotIsFree() throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("brittle", saying("5", "ok", 0));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 2, false), endpoint);
        assertThat(call().status()).isEqualTo(200);
        endpoint.behave(saying("5", "ok", 50));
        List<Future<Response>> responses = new ArrayList<>();
        for (int i = 0; i < 2 * SLOTS; i++) {
            responses.add(send(Map.of()));
        }
        for (Future<Response> response : responses) {
            assertThat(await(response).status()).isEqualTo(200);
        }
    }

    /** Guards against an endpoint that is asked again at once after it had to refuse a call. */
    @Test
    public void aBrittleEndpointThatRefusedACallGetsNoneForASecond() throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("brittle", saying("5", "ok", 0));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 2, false), endpoint);
        assertThat(call().status()).isEqualTo(200);
        endpoint.behave(
                request -> {
                    request.response().putHeader("Brittle", "5");
                    FakeEndpoint.refusing().accept(request);
                });
        for (int i = 0; i < 3; i++) {
            assertThat(call().status()).isEqualTo(503);
        }
        assertThat(endpoint.heads()).as("requests").hasSize(2);
    }

    private Consumer<HttpServerRequest> saying(
            String brittle, String body, long afterMilliseconds) {
        Consumer<HttpServerRequest> responding = FakeEndpoint.respondingWith(200, body);
        return request -> {
            request.response().putHeader("Brittle", brittle);
            if (afterMilliseconds == 0) {
                responding.accept(request);
            } else {
                mVertx.setTimer(afterMilliseconds, id -> responding.accept(request));
            }
        };
    }
}
