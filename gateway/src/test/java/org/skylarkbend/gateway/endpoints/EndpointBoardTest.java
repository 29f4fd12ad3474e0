package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.SiteMessage.Endpoints;
import org.testng.annotations.Test;

/** Which endpoint serves a call. */
public class EndpointBoardTest {
    private static final long WEIGHTS_LIFE_MILLISECONDS = 7_000;
    private static final String STORE = "10.0.0.9:80";

    @Test
    public void aCallGoesToTheEndpointWithTheFewestCallsForItsSlots() {
        EndpointBoard board = board(Set.of(), plain("a", 6), plain("b", 6));
        Endpoint first = board.choose("desk", Tries.none(), 0).orElseThrow().endpoint();
        board.sent(first, 0, 0);
        assertThat(id(board.choose("desk", Tries.none(), 0))).isNotEqualTo(first.id());
    }

    @Test
    public void endpointsThatLeaveOrWereTriedAreNotChosen() {
        Endpoint leaving =
                new Endpoint("a", "desk", "10.0.0.1", 80, "z", "v1", 6, true, 1, Map.of());
        EndpointBoard board = board(Set.of(), leaving, plain("b", 6));
        assertThat(board.choose("desk", new Tries(Set.of("b@1"), false), 0)).isEmpty();
        assertThat(id(board.choose("desk", Tries.none(), 0))).isEqualTo("b");
    }

    @Test
    public void anEndpointThatFailedComesAfterAllOthersForAWhile() {
        Endpoint failed = plain("a", 6);
        EndpointBoard board = board(Set.of(), failed, plain("b", 6));
        board.failed(failed, 0);
        for (int i = 0; i < 20; i++) {
            assertThat(id(board.choose("desk", Tries.none(), 10))).isEqualTo("b");
        }
        assertThat(id(board.choose("desk", new Tries(Set.of("b@1"), false), 10))).isEqualTo("a");
    }

    @Test
    public void theLastTryOfACallGoesToNoEngineThatRefusedAndHasAnsweredNothingSince() {
        Endpoint refusing = engine("a", 1);
        EndpointBoard board = board(Set.of(), refusing, engine("b", 1));
        board.refused(refusing, 0);
        board.sent(engine("b", 1), 90_000, 0);
        Prompt prompt = prompt("shared", 2_000);
        long laterMilliseconds = 10_000;
        Tries last = new Tries(Set.of(), true);
        assertThat(id(board.choose("desk", prompt, "s", last, laterMilliseconds))).isEqualTo("b");
        assertThat(chosen(board, prompt, laterMilliseconds)).isEqualTo("a");
        board.succeeded(refusing);
        assertThat(id(board.choose("desk", prompt, "s", last, laterMilliseconds))).isEqualTo("a");
    }

    @Test
    public void anEndpointThatHasCallsAndSendsNothingIsQuiet() {
        Endpoint endpoint = plain("a", 6);
        EndpointBoard board = board(Set.of(), endpoint, plain("b", 6));
        assertThat(board.quiet(10_000)).isEmpty();
        board.sent(endpoint, 0, 10_000);
        assertThat(board.quiet(10_600)).isEmpty();
        assertThat(board.quiet(10_601)).containsExactly(endpoint);
        board.heard(endpoint, 10_601);
        assertThat(board.quiet(10_700)).isEmpty();
    }

    @Test
    public void anUnreachableEndpointIsAskedForUntilItIsHeardAgain() {
        Endpoint endpoint = plain("a", 6);
        EndpointBoard board = board(Set.of(), endpoint, plain("b", 6));
        board.unreachable(endpoint);
        assertThat(board.quiet(0)).containsExactly(endpoint);
        assertThat(id(board.choose("desk", Tries.none(), 0))).isEqualTo("b");
        board.heard(endpoint, 5);
        assertThat(board.quiet(5)).isEmpty();
    }

    @Test
    public void everyGatewayTakesTheSameEngineForTheHomeOfAPrompt() {
        Endpoint[] engines = {engine("a", 1), engine("b", 1), engine("c", 1)};
        for (int key = 0; key < 20; key++) {
            Prompt prompt = prompt("shared-" + key, 6_300);
            String one = chosen(board(Set.of(), engines), prompt, 0);
            Endpoint[] reversed = {engines[2], engines[1], engines[0]};
            assertThat(chosen(board(Set.of(), reversed), prompt, 0)).isEqualTo(one);
        }
    }

    @Test
    public void aPromptLeavesAHomeWhereMoreWaitsThanItsSharedPartsTakeElsewhere() {
        EndpointBoard board = board(Set.of(), engine("a", 1), engine("b", 1));
        Prompt prompt = prompt("shared", 2_000);
        String home = chosen(board, prompt, 0);
        Endpoint endpoint = home.equals("a") ? engine("a", 1) : engine("b", 1);
        board.sent(endpoint, 40_000, 0);
        assertThat(chosen(board, prompt, 0)).isNotEqualTo(home);
    }

    @Test
    public void aPromptLeavesAHomeWhereTheCallsOfOtherGatewaysWait() {
        EndpointBoard board = board(Set.of(), engine("a", 1), engine("b", 1));
        Prompt prompt = prompt("shared", 2_000);
        String home = chosen(board, prompt, 0);
        board.othersHave(Map.of(home + "@1", new EndpointWork(40_000, 10)), 0);
        assertThat(chosen(board, prompt, 0)).isNotEqualTo(home);
        assertThat(chosen(board, prompt, 10_000)).isEqualTo(home);
    }

    @Test
    public void aPromptLeavesAHomeWhoseSlotsAreTakenByTheCallsOfAllGateways() {
        EndpointBoard board = board(Set.of(), engine("a", 1), engine("b", 1));
        Prompt prompt = prompt("shared", 2_000);
        String home = chosen(board, prompt, 0);
        board.othersHave(Map.of(home + "@1", new EndpointWork(0, 63)), 0);
        board.sent(home.equals("a") ? engine("a", 1) : engine("b", 1), 0, 0);
        assertThat(chosen(board, prompt, 0)).isNotEqualTo(home);
    }

    @Test
    public void aCallGoesWhereAllGatewaysTogetherHaveTheFewestCalls() {
        EndpointBoard board = board(Set.of(), plain("a", 6), plain("b", 6));
        board.othersHave(Map.of("a@1", new EndpointWork(0, 3)), 0);
        for (int i = 0; i < 20; i++) {
            assertThat(id(board.choose("desk", Tries.none(), 10))).isEqualTo("b");
        }
    }

    @Test
    public void theGatewayTellsOnlyOfEndpointsAtWhichItHasSomething() {
        Endpoint endpoint = plain("a", 6);
        EndpointBoard board = board(Set.of(), endpoint, plain("b", 6));
        board.sent(endpoint, 700, 0);
        assertThat(board.ownWork()).isEqualTo(Map.of("a@1", new EndpointWork(700, 1)));
    }

    @Test
    public void anEngineThatLoadsWeightsIsTheLastResort() {
        EndpointBoard board = board(Set.of("a@1"), engine("a", 1), engine("b", 1));
        for (int key = 0; key < 20; key++) {
            assertThat(chosen(board, prompt("shared-" + key, 6_300), 0)).isEqualTo("b");
        }
    }

    @Test
    public void noCallBeginsOnWeightsWhoseTimeIsOver() {
        EndpointBoard board = board(Set.of(), engine("a", 1));
        board.name(Map.of("m", 2L), 1_000);
        Prompt prompt = prompt("shared", 6_300);
        long stillMilliseconds = 1_000 + WEIGHTS_LIFE_MILLISECONDS;
        assertThat(board.choose("desk", prompt, "s", Tries.none(), stillMilliseconds)).isPresent();
        assertThat(board.choose("desk", prompt, "s", Tries.none(), stillMilliseconds + 1))
                .isEmpty();
    }

    @Test
    public void anEngineOfAnotherModelIsNotChosen() {
        EndpointBoard board = board(Set.of(), engine("a", 1));
        Prompt other = new Prompt("other", List.of(), 100, 10);
        assertThat(board.choose("desk", other, "s", Tries.none(), 0)).isEmpty();
    }

    @Test
    public void sharedPartsMayComeFromAnotherHomeWithTheSameWeightsOnly() {
        Prompt prompt = prompt("shared", 6_300);
        EngineChoice same =
                board(Set.of(), engine("a", 2), engine("b", 2))
                        .choose("desk", prompt, "s", Tries.none(), 0)
                        .orElseThrow();
        assertThat(same.weights()).hasValue(2);
        assertThat(same.cacheSource()).isPresent();
        EngineChoice other =
                board(Set.of(), engine("a", 2), engine("b", 1))
                        .choose("desk", prompt, "s", Tries.none(), 0)
                        .orElseThrow();
        assertThat(other.cacheSource()).isEmpty();
    }

    @Test
    public void aStoreThatCanBeReachedKeepsAndHandsOverWhatAnyEngineHasRead() {
        EngineChoice choice = chosenWithStore(prompt("shared", 6_300));
        assertThat(choice.cacheSource()).contains(STORE);
        assertThat(choice.store()).contains(STORE);
    }

    @Test
    public void aPromptThatSharesLittleIsNeitherFetchedNorKept() {
        EngineChoice choice = chosenWithStore(prompt("shared", 200));
        assertThat(choice.weights()).isPresent();
        assertThat(choice.cacheSource()).isEmpty();
        assertThat(choice.store()).isEmpty();
    }

    private static EngineChoice chosenWithStore(Prompt prompt) {
        EndpointBoard board = board(Set.of(), engine("a", 2), engine("b", 1));
        board.useStore(Optional.of(STORE));
        return board.choose("desk", prompt, "s", Tries.none(), 0).orElseThrow();
    }

    private static String id(Optional<EngineChoice> choice) {
        return choice.map(chosen -> chosen.endpoint().id()).orElse("none");
    }

    private static String chosen(EndpointBoard board, Prompt prompt, long nowMilliseconds) {
        return board.choose("desk", prompt, "s", Tries.none(), nowMilliseconds)
                .orElseThrow()
                .endpoint()
                .id();
    }

    private static EndpointBoard board(Set<String> loading, Endpoint... endpoints) {
        EndpointBoard board = new EndpointBoard(() -> 0.5, WEIGHTS_LIFE_MILLISECONDS);
        board.replace(new Endpoints(new ArrayList<>(List.of(endpoints)), loading), 0);
        return board;
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
