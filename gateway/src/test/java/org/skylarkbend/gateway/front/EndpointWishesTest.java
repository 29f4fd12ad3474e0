package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests what a gateway does when an endpoint says in a response that it wants no more calls. */
public class EndpointWishesTest extends GatewayFixture {
    private static final int CALLS = 20;
    private static final Route ROUTE = Routes.of(CallKind.REPEATABLE, 2, false);

    /** Guards against calls that go on to an endpoint that has said that it is shutting down. */
    @Test
    public void anEndpointThatSaysItIsLeavingGetsNoFurtherCalls() throws Exception {
        FakeEndpoint leaving = new FakeEndpoint("leaving", FakeEndpoint.leaving());
        await(leaving.listen(mVertx));
        publish(ROUTE, leaving);
        assertThat(call().status()).isEqualTo(200);
        FakeEndpoint other = new FakeEndpoint("other", FakeEndpoint.respondingWith(200, "x"));
        await(other.listen(mVertx));
        publish(ROUTE, leaving, other);
        for (int i = 0; i < CALLS; i++) {
            assertThat(call().status()).isEqualTo(200);
        }
        assertThat(leaving.heads()).hasSize(1);
    }

    /** Guards against calls that go on to an endpoint that has asked for none for a time. */
    @Test
    public void anEndpointThatAsksForNoCallsGetsNoneAndCallersLearnWhenToReturn() throws Exception {
        FakeEndpoint pausing = new FakeEndpoint("pausing", FakeEndpoint.pausing("30.5"));
        await(pausing.listen(mVertx));
        publish(ROUTE, pausing);
        assertThat(call().status()).isEqualTo(503);
        for (int i = 0; i < CALLS; i++) {
            Response refused = call();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.body().orElse("")).contains("not_run");
            assertThat(Double.parseDouble(refused.head().get("retry-after"))).isBetween(1.0, 30.5);
        }
        assertThat(pausing.heads()).hasSize(1);
    }

    @Test
    public void otherEndpointsServeWhileOneWantsNoCalls() throws Exception {
        FakeEndpoint pausing = new FakeEndpoint("pausing", FakeEndpoint.pausing("30"));
        FakeEndpoint other = new FakeEndpoint("other", FakeEndpoint.respondingWith(200, "x"));
        for (FakeEndpoint endpoint : List.of(pausing, other)) {
            await(endpoint.listen(mVertx));
        }
        publish(ROUTE, pausing, other);
        for (int i = 0; i < CALLS; i++) {
            assertThat(call().status()).isEqualTo(200);
        }
        assertThat(pausing.heads().size()).isLessThanOrEqualTo(1);
    }
}
