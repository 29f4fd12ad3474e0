package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.testng.annotations.Test;

/** Tests the selection of endpoints. */
public class EndpointSelectorTest {
    private static final long WEIGHTS_LIFE_MILLISECONDS = 7_000;
    private static final String STORE = "10.0.0.9:80";

    @Test
    public void aCallGoesToTheEndpointWithTheFewestCallsForItsSlots() {
        EndpointSelector selector = selector(Set.of(), plain("a", 6), plain("b", 6));
        Endpoint first = selector.choose("desk", PriorAttempts.none(), 0).orElseThrow().endpoint();
        selector.sent(first, 0, 0);
        assertThat(id(selector.choose("desk", PriorAttempts.none(), 0))).isNotEqualTo(first.id());
    }

    @Test
    public void endpointsThatLeaveOrWereTriedAreNotChosen() {
        Endpoint leaving =
                new Endpoint("a", "desk", "10.0.0.1", 80, "z", "v1", 6, true, 1, Map.of());
        EndpointSelector selector = selector(Set.of(), leaving, plain("b", 6));
        assertThat(selector.choose("desk", new PriorAttempts(Set.of("b@1"), false), 0)).isEmpty();
        assertThat(id(selector.choose("desk", PriorAttempts.none(), 0))).isEqualTo("b");
    }

    @Test
    public void anEndpointThatFailedComesAfterAllOthersForAWhile() {
        Endpoint failed = plain("a", 6);
        EndpointSelector selector = selector(Set.of(), failed, plain("b", 6));
        selector.failed(failed, 0);
        for (int i = 0; i < 20; i++) {
            assertThat(id(selector.choose("desk", PriorAttempts.none(), 10))).isEqualTo("b");
        }
        assertThat(id(selector.choose("desk", new PriorAttempts(Set.of("b@1"), false), 10)))
                .isEqualTo("a");
    }

    @Test
    public void anEndpointThatAskedForNoCallsGetsNoneUntilTheTimeIsOver() {
        Endpoint paused = plain("a", 6);
        EndpointSelector selector = selector(Set.of(), paused, plain("b", 6));
        selector.paused(paused, 1_500, 0);
        PriorAttempts afterB = new PriorAttempts(Set.of("b@1"), true);
        assertThat(selector.choose("desk", afterB, 1_499)).isEmpty();
        assertThat(selector.acceptsCalls(paused, 1_499)).isFalse();
        assertThat(selector.pausedMilliseconds("desk", 500)).isEmpty();
        assertThat(id(selector.choose("desk", afterB, 1_500))).isEqualTo("a");
        selector.paused(plain("b", 6), 700, 0);
        assertThat(selector.pausedMilliseconds("desk", 500)).hasValue(200);
    }

    @Test
    public void anEndpointThatSaysItIsLeavingGetsNoCallsAlthoughItIsListedAsServing() {
        Endpoint leaving = plain("a", 6);
        EndpointSelector selector = selector(Set.of(), leaving, plain("b", 6));
        selector.leaving(leaving);
        selector.replace(new Endpoints(List.of(leaving, plain("b", 6)), Set.of()), 10);
        assertThat(selector.choose("desk", new PriorAttempts(Set.of("b@1"), true), 60_000))
                .isEmpty();
        assertThat(selector.acceptsCalls(leaving, 60_000)).isFalse();
    }

    @Test
    public void theLastTryOfACallGoesToNoEngineThatRefusedAndHasRespondedToNothingSince() {
        Endpoint refusing = engine("a", 1);
        EndpointSelector selector = selector(Set.of(), refusing, engine("b", 1));
        selector.refused(refusing, 0);
        selector.sent(engine("b", 1), 90_000, 0);
        Prompt prompt = prompt("shared", 2_000);
        long laterMilliseconds = 10_000;
        PriorAttempts last = new PriorAttempts(Set.of(), true);
        assertThat(id(selector.choose("desk", prompt, "s", last, laterMilliseconds)))
                .isEqualTo("b");
        assertThat(chosen(selector, prompt, laterMilliseconds)).isEqualTo("a");
        selector.succeeded(refusing);
        assertThat(id(selector.choose("desk", prompt, "s", last, laterMilliseconds)))
                .isEqualTo("a");
    }

    @Test
    public void anEndpointThatHasCallsAndSendsNothingIsProbed() {
        Endpoint endpoint = plain("a", 6);
        EndpointSelector selector = selector(Set.of(), endpoint, plain("b", 6));
        assertThat(selector.endpointsToProbe(10_000)).isEmpty();
        selector.sent(endpoint, 0, 10_000);
        assertThat(selector.endpointsToProbe(10_600)).isEmpty();
        assertThat(selector.endpointsToProbe(10_601)).containsExactly(endpoint);
        selector.responded(endpoint, 10_601);
        assertThat(selector.endpointsToProbe(10_700)).isEmpty();
    }

    @Test
    public void anUnreachableEndpointIsProbedUntilItResponds() {
        Endpoint endpoint = plain("a", 6);
        EndpointSelector selector = selector(Set.of(), endpoint, plain("b", 6));
        selector.unreachable(endpoint);
        assertThat(selector.endpointsToProbe(0)).containsExactly(endpoint);
        assertThat(id(selector.choose("desk", PriorAttempts.none(), 0))).isEqualTo("b");
        selector.responded(endpoint, 5);
        assertThat(selector.endpointsToProbe(5)).isEmpty();
    }

    @Test
    public void everyGatewayTakesTheSameEngineForTheHomeOfAPrompt() {
        Endpoint[] engines = {engine("a", 1), engine("b", 1), engine("c", 1)};
        for (int key = 0; key < 20; key++) {
            Prompt prompt = prompt("shared-" + key, 6_300);
            String one = chosen(selector(Set.of(), engines), prompt, 0);
            Endpoint[] reversed = {engines[2], engines[1], engines[0]};
            assertThat(chosen(selector(Set.of(), reversed), prompt, 0)).isEqualTo(one);
        }
    }

    @Test
    public void aPromptLeavesAHomeWhereMoreWaitsThanItsSharedPartsTakeElsewhere() {
        EndpointSelector selector = selector(Set.of(), engine("a", 1), engine("b", 1));
        Prompt prompt = prompt("shared", 2_000);
        String home = chosen(selector, prompt, 0);
        Endpoint endpoint = home.equals("a") ? engine("a", 1) : engine("b", 1);
        selector.sent(endpoint, 40_000, 0);
        assertThat(chosen(selector, prompt, 0)).isNotEqualTo(home);
    }

    @Test
    public void aPromptLeavesAHomeWhereTheCallsOfOtherGatewaysWait() {
        EndpointSelector selector = selector(Set.of(), engine("a", 1), engine("b", 1));
        Prompt prompt = prompt("shared", 2_000);
        String home = chosen(selector, prompt, 0);
        selector.otherWorkChanged(Map.of(home + "@1", new EndpointWork(40_000, 10)), 0);
        assertThat(chosen(selector, prompt, 0)).isNotEqualTo(home);
        assertThat(chosen(selector, prompt, 10_000)).isEqualTo(home);
    }

    @Test
    public void aPromptLeavesAHomeWhoseSlotsAreTakenByTheCallsOfAllGateways() {
        EndpointSelector selector = selector(Set.of(), engine("a", 1), engine("b", 1));
        Prompt prompt = prompt("shared", 2_000);
        String home = chosen(selector, prompt, 0);
        selector.otherWorkChanged(Map.of(home + "@1", new EndpointWork(0, 63)), 0);
        selector.sent(home.equals("a") ? engine("a", 1) : engine("b", 1), 0, 0);
        assertThat(chosen(selector, prompt, 0)).isNotEqualTo(home);
    }

    @Test
    public void aCallGoesWhereAllGatewaysTogetherHaveTheFewestCalls() {
        EndpointSelector selector = selector(Set.of(), plain("a", 6), plain("b", 6));
        selector.otherWorkChanged(Map.of("a@1", new EndpointWork(0, 3)), 0);
        for (int i = 0; i < 20; i++) {
            assertThat(id(selector.choose("desk", PriorAttempts.none(), 10))).isEqualTo("b");
        }
    }

    @Test
    public void theGatewayReportsOnlyEndpointsAtWhichItHasWork() {
        Endpoint endpoint = plain("a", 6);
        EndpointSelector selector = selector(Set.of(), endpoint, plain("b", 6));
        selector.sent(endpoint, 700, 0);
        assertThat(selector.ownWork()).isEqualTo(Map.of("a@1", new EndpointWork(700, 1)));
    }

    @Test
    public void anEngineThatLoadsWeightsIsTheLastResort() {
        EndpointSelector selector = selector(Set.of("a@1"), engine("a", 1), engine("b", 1));
        for (int key = 0; key < 20; key++) {
            assertThat(chosen(selector, prompt("shared-" + key, 6_300), 0)).isEqualTo("b");
        }
    }

    @Test
    public void noCallStartsOnExpiredWeights() {
        EndpointSelector selector = selector(Set.of(), engine("a", 1));
        selector.weightsAnnounced(Map.of("m", 2L), 1_000);
        Prompt prompt = prompt("shared", 6_300);
        long lastValidMilliseconds = 1_000 + WEIGHTS_LIFE_MILLISECONDS;
        assertThat(
                        selector.choose(
                                "desk", prompt, "s", PriorAttempts.none(), lastValidMilliseconds))
                .isPresent();
        assertThat(
                        selector.choose(
                                "desk",
                                prompt,
                                "s",
                                PriorAttempts.none(),
                                lastValidMilliseconds + 1))
                .isEmpty();
    }

    @Test
    public void anEngineOfAnotherModelIsNotChosen() {
        EndpointSelector selector = selector(Set.of(), engine("a", 1));
        Prompt other = new Prompt("other", List.of(), 100, 10);
        assertThat(selector.choose("desk", other, "s", PriorAttempts.none(), 0)).isEmpty();
    }

    @Test
    public void sharedPartsMayComeFromAnotherHomeWithTheSameWeightsOnly() {
        Prompt prompt = prompt("shared", 6_300);
        EngineChoice same =
                selector(Set.of(), engine("a", 2), engine("b", 2))
                        .choose("desk", prompt, "s", PriorAttempts.none(), 0)
                        .orElseThrow();
        assertThat(same.weights()).hasValue(2);
        assertThat(same.cacheSource()).isPresent();
        EngineChoice other =
                selector(Set.of(), engine("a", 2), engine("b", 1))
                        .choose("desk", prompt, "s", PriorAttempts.none(), 0)
                        .orElseThrow();
        assertThat(other.cacheSource()).isEmpty();
    }

    @Test
    public void aReachableStoreIsUsedToSaveAndFetchPromptParts() {
        EngineChoice choice = chosenWithStore(prompt("shared", 6_300));
        assertThat(choice.cacheSource()).contains(STORE);
        assertThat(choice.store()).contains(STORE);
    }

    @Test
    public void aPromptWithFewSharedTokensIsNeitherFetchedNorSaved() {
        EngineChoice choice = chosenWithStore(prompt("shared", 200));
        assertThat(choice.weights()).isPresent();
        assertThat(choice.cacheSource()).isEmpty();
        assertThat(choice.store()).isEmpty();
    }

    /** Guards against engines that fetch prompt parts from an engine that is shutting down. */
    @Test
    public void anEngineThatLeavesIsNoSourceOfPromptParts() {
        Prompt prompt = prompt("shared", 6_300);
        EndpointSelector selector = selector(Set.of(), engine("a", 2), engine("b", 2));
        Endpoint home = choice(selector, prompt).endpoint();
        Endpoint other = engine(home.id().equals("a") ? "b" : "a", 2);
        assertThat(choice(selector, prompt).cacheSource()).contains(other.address());
        selector.leaving(other);
        assertThat(choice(selector, prompt).cacheSource()).isEmpty();
        selector.leaving(home);
        assertThat(selector.choose("desk", prompt, "s", PriorAttempts.none(), 0)).isEmpty();
    }

    private static EngineChoice choice(EndpointSelector selector, Prompt prompt) {
        return selector.choose("desk", prompt, "s", PriorAttempts.none(), 0).orElseThrow();
    }

    private static EngineChoice chosenWithStore(Prompt prompt) {
        EndpointSelector selector = selector(Set.of(), engine("a", 2), engine("b", 1));
        selector.setStore(new ReachedStore(Optional.of(STORE), 0));
        return selector.choose("desk", prompt, "s", PriorAttempts.none(), 0).orElseThrow();
    }

    private static String id(Optional<EngineChoice> choice) {
        return choice.map(chosen -> chosen.endpoint().id()).orElse("none");
    }

    private static String chosen(EndpointSelector selector, Prompt prompt, long nowMilliseconds) {
        return selector.choose("desk", prompt, "s", PriorAttempts.none(), nowMilliseconds)
                .orElseThrow()
                .endpoint()
                .id();
    }

    private static EndpointSelector selector(Set<String> loading, Endpoint... endpoints) {
        EndpointSelector selector = new EndpointSelector(() -> 0.5, WEIGHTS_LIFE_MILLISECONDS, "z");
        selector.replace(new Endpoints(new ArrayList<>(List.of(endpoints)), loading), 0);
        return selector;
    }

    private static Endpoint plain(String id, int slots) {
        return new Endpoint(id, "desk", "10.0.0.1", 80, "z", "v1", slots, false, 1, Map.of());
    }

    private static Endpoint engine(String id, long version) {
        return new Endpoint(
                id, "desk", "10.0.0.1", 80, "z", "v1", 64, false, 1, Map.of("m", version));
    }

    private static Prompt prompt(String shared, long sharedTokens) {
        return new Prompt(
                "m",
                List.of(new Prompt.Part(shared, sharedTokens), new Prompt.Part("own", 500)),
                sharedTokens + 500,
                20);
    }
}
