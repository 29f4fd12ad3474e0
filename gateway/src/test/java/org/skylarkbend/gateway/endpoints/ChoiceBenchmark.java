package org.skylarkbend.gateway.endpoints;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Service;

/** Prints the time of a choice among 100 engines, without and with shared machines. */
public final class ChoiceBenchmark {
    private static final int ENGINES = 100;
    private static final int PARTS = 2_500;
    private static final int ROUNDS = 5;
    private static final int CHOICES = 20_000;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private ChoiceBenchmark() {}

    /** Runs the benchmark. */
    public static void main(String[] arguments) {
        for (int round = 0; round < ROUNDS; round++) {
            System.out.printf(
                    "round %d: %.1f us a choice, %.1f us with shared machines%n",
                    round, microseconds(false), microseconds(true));
        }
    }

    private static double microseconds(boolean areShared) {
        Random random = new Random(1);
        EndpointSelector selector = new EndpointSelector(random::nextDouble, 7_000, "z");
        List<Endpoint> engines =
                IntStream.range(0, ENGINES).mapToObj(ChoiceBenchmark::engine).toList();
        selector.replace(new Endpoints(engines, Set.of()), 0);
        selector.servicesChanged(
                Map.of(
                        "desk",
                        new Service(
                                "desk",
                                10,
                                Optional.of(new Service.Engine(64, 126_000)),
                                Optional.empty())));
        Map<String, EndpointWork> work = new HashMap<>();
        engines.forEach(
                engine ->
                        work.put(
                                engine.incarnation(),
                                new EndpointWork(random.nextInt(9_000), random.nextInt(5))));
        selector.otherWorkChanged(work, 0);
        if (areShared) {
            selector.reported(engines.get(0), new ReportedLoad(0, 0, OptionalInt.of(100)), 0);
        }
        long startNanoseconds = System.nanoTime();
        for (int i = 0; i < CHOICES; i++) {
            Prompt prompt =
                    Prompt.ofParts(
                            "m",
                            List.of(
                                    new Prompt.Part("book-" + random.nextInt(4), 2_520),
                                    new Prompt.Part("part-" + random.nextInt(PARTS), 3_780),
                                    new Prompt.Part("own-" + i, 2_890)));
            selector.choose("desk", prompt, "shared", PriorAttempts.none(), i / 20).orElseThrow();
        }
        long elapsedNanoseconds = System.nanoTime() - startNanoseconds;
        return elapsedNanoseconds / NANOSECONDS_PER_MICROSECOND / CHOICES;
    }

    private static Endpoint engine(int number) {
        return new Endpoint(
                "e" + number,
                "desk",
                "10.0.0." + number,
                80,
                "z",
                "v1",
                64,
                false,
                1,
                Map.of("m", 1L));
    }
}
