package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Service;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the choice among engines that share their machines with others. */
public class SharedPoolsTest {
    private static final int ENGINES = 12;
    private static final int DRAWS = 200;
    private static final long MEMORY_TOKENS = 100_000;
    private static final ReportedLoad USUAL = new ReportedLoad(0, 0, OptionalInt.of(100));

    private final List<Endpoint> mEngines =
            IntStream.range(0, ENGINES).mapToObj(SharedPoolsTest::engine).toList();
    private EndpointSelector mSelector;
    private Map<String, EndpointWork> mWork;

    @BeforeMethod
    public void createSelector() {
        mWork = Map.of();
        mSelector = new EndpointSelector(new Random(1)::nextDouble, 7_000, "own");
        mSelector.replace(new Endpoints(mEngines, Set.of()), 0);
        mSelector.servicesChanged(
                Map.of(
                        "desk",
                        new Service(
                                "desk",
                                10,
                                Optional.of(new Service.Engine(64, MEMORY_TOKENS)),
                                Optional.empty())));
    }

    @DataProvider
    private Object[][] headers() {
        return new Object[][] {
            {"3,1,8", Optional.of(new ReportedLoad(3, 1, OptionalInt.empty()))},
            {"3,1,8,250", Optional.of(new ReportedLoad(3, 1, OptionalInt.of(250)))},
            {"3,1", Optional.empty()},
            {"3,1,8,", Optional.empty()},
            {"3,1,8,-5", Optional.empty()},
            {"3,1,8,100,7", Optional.empty()},
            {"3,1,8,99999999999", Optional.empty()},
            {null, Optional.empty()}
        };
    }

    /** Guards against a load that is unknown because its header has a further figure. */
    @Test(dataProvider = "headers")
    public void aLoadIsReadWithAndWithoutTheTimeOfWork(
            String header, Optional<ReportedLoad> expected) {
        assertThat(ReportedLoad.parse(header)).isEqualTo(expected);
    }

    /** Guards against gateways that all send to the one engine which looked idle to them. */
    @Test
    public void promptsWithoutHomeSpreadOverEnginesAlthoughOneLooksIdle() {
        mWork = atAllButTheFirst(new EndpointWork(500, 1));
        assertThat(chosen("")).as("no endpoint reports a time of work").containsExactly("e0");
        mSelector.reported(mEngines.get(0), USUAL, 10);
        assertThat(chosen("")).hasSize(ENGINES);
    }

    /** Guards against many gateways that all send to the engine which an old sum shows as idle. */
    @Test
    public void promptsOfManyGatewaysSpreadOverEnginesThatDoNotReportTheirMachines() {
        mWork = atAllButTheFirst(new EndpointWork(500, 1));
        mSelector.gatewaysCounted(8);
        assertThat(chosen("")).as("sums of few gateways are current").containsExactly("e0");
        mSelector.gatewaysCounted(69);
        assertThat(chosen("")).hasSize(ENGINES);
        mSelector.gatewaysCounted(5);
        assertThat(chosen("")).as("a new leader knows few gateways at first").hasSize(ENGINES);
    }

    /** Guards against calls without a prompt that many gateways all send to one endpoint. */
    @Test
    public void callsWithoutPromptOfManyGatewaysSpreadOverEndpoints() {
        Map<String, EndpointWork> work = atAllButTheFirst(new EndpointWork(0, 1));
        mSelector.gatewaysCounted(69);
        mSelector.otherWorkChanged(work, 10);
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < DRAWS; i++) {
            chosen.add(
                    mSelector
                            .choose("desk", PriorAttempts.none(), 20)
                            .orElseThrow()
                            .endpoint()
                            .id());
        }
        assertThat(chosen).hasSize(ENGINES);
    }

    @Test
    public void anEngineWhoseMachineIsSlowAtTheMomentLosesAgainstAnother() {
        mSelector.replace(new Endpoints(mEngines.subList(0, 2), Set.of()), 0);
        mSelector.reported(mEngines.get(0), new ReportedLoad(0, 0, OptionalInt.of(250)), 10);
        assertThat(chosenAt("", 20)).containsExactly("e1");
        assertThat(chosenAt("", 10_000)).as("a figure of seconds ago").contains("e0");
    }

    /** Guards against an engine that is filled beyond its memory because it is a home. */
    @Test
    public void aHomeWhoseMemoryTheWaitingPromptsFillGetsNoFurtherOne() {
        mSelector.reported(mEngines.get(0), USUAL, 10);
        String home = chosen("shared").iterator().next();
        assertThat(chosen("shared")).contains(home);
        mWork = Map.of(home + "@1", new EndpointWork(MEMORY_TOKENS, 20));
        assertThat(chosen("shared")).doesNotContain(home);
    }

    /** Guards against one engine that serves all prompts of a part which many ask for. */
    @Test
    public void aPartThatAllPromptsShareGetsSeveralHomes() {
        mSelector.reported(mEngines.get(0), USUAL, 10);
        Set<String> before = chosen("hot");
        for (int i = 0; i < 20; i++) {
            chosen("hot");
        }
        mWork =
                before.stream()
                        .collect(
                                Collectors.toMap(
                                        id -> id + "@1", id -> new EndpointWork(9_000, 4)));
        assertThat(chosen("hot")).hasSizeBetween(2, ENGINES / 2 + 1);
    }

    /** Guards against engines that failed and are preferred because of a declared number. */
    @Test
    public void aPromptWithAnAbsurdLengthOfItsAnswerAvoidsAnEngineThatFailed() {
        Endpoint failed = mEngines.get(0);
        Map<String, EndpointWork> work = atAllButTheFirst(new EndpointWork(0, 1));
        mSelector.gatewaysCounted(69);
        mSelector.otherWorkChanged(work, 10);
        mSelector.failed(failed, 10);
        Prompt prompt = new Prompt("m", List.of(new Prompt.Part("own", 600)), 600, 1_000_000_000);
        for (int i = 0; i < DRAWS; i++) {
            EngineChoice choice =
                    mSelector.choose("desk", prompt, "s", PriorAttempts.none(), 20).orElseThrow();
            assertThat(choice.endpoint()).isNotEqualTo(failed);
        }
    }

    private Map<String, EndpointWork> atAllButTheFirst(EndpointWork work) {
        return mEngines.stream()
                .skip(1)
                .collect(Collectors.toMap(Endpoint::incarnation, engine -> work));
    }

    private Set<String> chosen(String sharedPart) {
        return chosenAt(sharedPart, 20);
    }

    private Set<String> chosenAt(String sharedPart, long nowMilliseconds) {
        List<Prompt.Part> parts =
                sharedPart.isEmpty()
                        ? List.of(new Prompt.Part("own", 600))
                        : List.of(
                                new Prompt.Part(sharedPart, 6_300), new Prompt.Part("own", 2_900));
        Prompt prompt = Prompt.ofParts("m", parts);
        mSelector.otherWorkChanged(mWork, nowMilliseconds);
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < DRAWS; i++) {
            chosen.add(
                    mSelector
                            .choose("desk", prompt, "s", PriorAttempts.none(), nowMilliseconds)
                            .orElseThrow()
                            .endpoint()
                            .id());
        }
        return chosen;
    }

    private static Endpoint engine(int number) {
        return new Endpoint(
                "e" + number,
                "desk",
                "10.0.0." + number,
                80,
                "own",
                "v1",
                64,
                false,
                1,
                Map.of("m", 1L));
    }
}
