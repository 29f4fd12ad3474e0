package org.skylarkbend.placement.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests choices of many routers that learn of one another's calls late. */
public class SampledChoiceTest {
    private static final int ENGINES = 42;
    private static final int ROUTERS = 91;
    private static final int CALLS_BETWEEN_TWO_SUMS = 140;
    private static final int ROUNDS = 50;
    private static final double SERVED_SHARE = 0.9;

    /** The load: short prompts of 91 routers, to which each sum of the work comes late. */
    @Test
    public void routersThatKnowOfEachOtherLateDoNotAllTakeTheSameEngine() {
        Random random = new Random(1);
        SampledChoice choice = new SampledChoice(random::nextDouble);
        List<Integer> engines = IntStream.range(0, ENGINES).boxed().toList();
        int[] known = new int[ENGINES];
        double sampled =
                busiestOverMean(
                        random,
                        known,
                        router ->
                                choice.of(engines, engine -> false, engine -> known[engine], 1e9)
                                        .orElseThrow());
        double cheapest =
                busiestOverMean(
                        random,
                        known,
                        router ->
                                IntStream.range(0, ENGINES)
                                        .reduce((a, b) -> known[b] < known[a] ? b : a)
                                        .orElseThrow());
        assertThat(sampled).as("with two drawn engines").isLessThan(3.5);
        assertThat(cheapest).as("with the cheapest engine").isGreaterThan(20);
    }

    /** Returns the most calls that an engine gets between two sums, over the mean. */
    private static double busiestOverMean(
            Random random, int[] known, ToIntFunction<Integer> chosenBy) {
        double sum = 0;
        int[] running = new int[ENGINES];
        Arrays.fill(known, 0);
        for (int round = 0; round < ROUNDS; round++) {
            int[] sent = new int[ENGINES];
            for (int call = 0; call < CALLS_BETWEEN_TWO_SUMS; call++) {
                sent[chosenBy.applyAsInt(random.nextInt(ROUTERS))]++;
            }
            for (int engine = 0; engine < ENGINES; engine++) {
                running[engine] = (int) ((running[engine] + sent[engine]) * (1 - SERVED_SHARE));
                known[engine] = running[engine];
            }
            sum += Arrays.stream(sent).max().orElseThrow();
        }
        return sum / ROUNDS / ((double) CALLS_BETWEEN_TWO_SUMS / ENGINES);
    }

    @Test
    public void thePreferredCandidateIsComparedInAnyCase() {
        SampledChoice choice = new SampledChoice(new Random(2)::nextDouble);
        List<Integer> engines = IntStream.range(0, ENGINES).boxed().toList();
        for (int i = 0; i < 100; i++) {
            assertThat(
                            choice.of(
                                    engines,
                                    engine -> engine == 7,
                                    engine -> engine == 7 ? 1 : 5,
                                    1e9))
                    .hasValue(7);
        }
    }

    @Test
    public void candidatesThatAreTheLastResortAreTakenOnlyIfThereAreNoOthers() {
        SampledChoice choice = new SampledChoice(new Random(3)::nextDouble);
        List<Integer> chosen = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            choice.of(List.of(1, 2, 3), engine -> engine == 1, engine -> engine == 3 ? 5 : 1e9, 1e8)
                    .ifPresent(chosen::add);
        }
        assertThat(chosen).hasSize(100).containsOnly(3);
        assertThat(choice.of(List.of(1), engine -> false, engine -> 1e9, 1e8)).hasValue(1);
        Optional<Integer> none =
                choice.of(List.of(1), engine -> true, engine -> Double.POSITIVE_INFINITY, 1e8);
        assertThat(none).isEmpty();
    }
}
