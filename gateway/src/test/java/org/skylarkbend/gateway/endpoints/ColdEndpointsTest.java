package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests the calls that all gateways together send to an endpoint that has just started. */
public class ColdEndpointsTest {
    private static final long WARM_UP_MILLISECONDS = 3_000;
    private static final double CALLS_PER_SECOND = 8;
    private static final Map<String, Service> SERVICES =
            Map.of(
                    "desk",
                    new Service(
                            "desk",
                            10,
                            Optional.empty(),
                            Optional.empty(),
                            Optional.of(
                                    new Service.WarmUp(WARM_UP_MILLISECONDS, CALLS_PER_SECOND))));

    /** The load: every gateway always has a call for the one endpoint that is cold. */
    @Test
    public void gatewaysThatAllHaveCallsForAColdEndpointKeepToWhatItBears() {
        int most = (int) (CALLS_PER_SECOND * 1.5 + 5);
        for (int gateways : new int[] {1, 8, 62, 400}) {
            SeededRuns.forEachSeed(
                    1,
                    40,
                    seed ->
                            assertThat(mostInASecond(gateways, new Random(seed)))
                                    .as("calls in a second from %s gateways", gateways)
                                    .isLessThanOrEqualTo(most));
        }
    }

    private static int mostInASecond(int gateways, Random random) {
        Endpoint cold = endpoint("a", WARM_UP_MILLISECONDS);
        List<ColdEndpoints> bounds = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            ColdEndpoints bound = new ColdEndpoints(random::nextDouble);
            bound.servicesChanged(SERVICES);
            bound.gatewaysCounted(gateways);
            bound.listed(cold, 0);
            bounds.add(bound);
        }
        Deque<Long> sent = new ArrayDeque<>();
        int most = 0;
        for (long now = 0; now < WARM_UP_MILLISECONDS; now += 5) {
            for (ColdEndpoints bound : bounds) {
                if (bound.hasRoom(cold, now)) {
                    bound.sent(cold, now);
                    sent.add(now);
                }
            }
            while (!sent.isEmpty() && sent.peek() <= now - 1_000) {
                sent.poll();
            }
            most = Math.max(most, sent.size());
        }
        return most;
    }

    @Test
    public void anEndpointThatIsWarmOrOfAnUnlimitedServiceIsNotBounded() {
        ColdEndpoints bound = new ColdEndpoints(() -> 0.9);
        Endpoint cold = endpoint("a", WARM_UP_MILLISECONDS);
        bound.listed(cold, 0);
        assertThat(bound.hasRoom(cold, 1)).as("no warm-up in the catalog").isTrue();
        bound.servicesChanged(SERVICES);
        bound.gatewaysCounted(50);
        assertThat(bound.hasRoom(cold, 1)).isFalse();
        assertThat(bound.hasRoom(cold, WARM_UP_MILLISECONDS)).isTrue();
    }

    /** Guards against gateways that believe a list from before an endpoint became cold. */
    @Test
    public void endpointsOfADataCentreWhoseEvacuationIsWithdrawnAreTakenForCold() {
        EndpointSelector selector = new EndpointSelector(() -> 0.9, 7_000, "z");
        selector.servicesChanged(SERVICES);
        selector.gatewaysCounted(50);
        selector.replace(new Endpoints(List.of(endpoint("a", 0)), Set.of()), 0);
        assertThat(selector.choose("desk", PriorAttempts.none(), 1)).isPresent();
        selector.evacuated(Set.of("z"), 2);
        assertThat(selector.choose("desk", PriorAttempts.none(), 3)).isEmpty();
        assertThat(selector.acceptsCalls(endpoint("a", 0), 3)).isFalse();
        selector.evacuated(Set.of(), 10);
        assertThat(selector.acceptsCalls(endpoint("a", 0), 11)).isTrue();
        assertThat(selector.choose("desk", PriorAttempts.none(), 11)).isEmpty();
        assertThat(selector.choose("desk", PriorAttempts.none(), 10 + WARM_UP_MILLISECONDS))
                .isPresent();
    }

    /** Guards against a flood of calls to an endpoint that comes back empty. */
    @Test
    public void anEndpointThatWasUnreachableIsTakenForColdWhenItResponds() {
        EndpointSelector selector = new EndpointSelector(() -> 0.9, 7_000, "z");
        selector.servicesChanged(SERVICES);
        selector.gatewaysCounted(50);
        Endpoint endpoint = endpoint("a", 0);
        selector.replace(new Endpoints(List.of(endpoint), Set.of()), 0);
        selector.unreachable(endpoint);
        selector.responded(endpoint, 5);
        assertThat(selector.choose("desk", PriorAttempts.none(), 6)).isEmpty();
    }

    private static Endpoint endpoint(String id, long coldMilliseconds) {
        return new Endpoint(
                id, "desk", "10.0.0.1", 80, "z", "v1", 6, false, 1, Map.of(), coldMilliseconds);
    }
}
