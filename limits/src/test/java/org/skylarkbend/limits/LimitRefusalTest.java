package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.base.ObjectName;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Compares refusals with those of one exact central bucket for the same calls. */
public class LimitRefusalTest {
    /** A pattern of arriving calls. */
    private record Load(
            String name, int routers, double shareOfRate, double shareOfFirst, boolean bursts) {}

    /** Results of a load. */
    private record Outcome(
            Load load,
            int calls,
            int refusedByCentral,
            int refusedByShares,
            int wrongfullyRefused,
            double admittedTokensShare,
            double messagesPerRouterSecond,
            double bytesPerRouterSecond) {
        String row() {
            return String.format(
                    Locale.ROOT,
                    "| %-32s | %d | %5d | %5d | %5d | %5d | %.3f | %.1f | %.0f |",
                    load.name(),
                    load.routers(),
                    calls,
                    refusedByCentral,
                    refusedByShares,
                    wrongfullyRefused,
                    admittedTokensShare,
                    messagesPerRouterSecond,
                    bytesPerRouterSecond);
        }
    }

    private static final long DURATION_MILLISECONDS = 300_000;
    private static final long BURST_PERIOD_MILLISECONDS = 20_000;
    private static final CustomerLimit LIMIT =
            new CustomerLimit(ObjectName.of("atelier"), 60_000, 400_000);
    private static final LimitPolicy POLICY = LimitPolicy.standard();
    private static final long SEED = 20_261_204;

    @BeforeClass
    public void printHeader() {
        System.out.println(
                "| load | routers | calls | refused by central | refused by shares | refused by"
                        + " shares only | admitted tokens beside central | messages per router"
                        + " and second | bytes per router and second |");
    }

    @Test
    public void anEvenLoadInsideTheRateIsNeverWronglyRefused() {
        assertThat(run(new Load("even, 0.8 of the rate", 8, 0.8, 0, false)).wrongfullyRefused())
                .isZero();
    }

    @Test
    public void aLoadThroughOneRouterInsideTheRateIsNeverWronglyRefused() {
        assertThat(run(new Load("90 % at one router, 0.8", 8, 0.8, 0.9, false)).wrongfullyRefused())
                .isZero();
    }

    @Test
    public void burstsOverAllRoutersLoseAtMostOnePercentOfCalls() {
        Outcome outcome = run(new Load("bursts, even, 0.25 of the rate", 8, 0.25, 0, true));
        assertThat(outcome.wrongfullyRefused()).isLessThanOrEqualTo(outcome.calls() / 100);
    }

    @Test
    public void burstsThroughOneRouterAreMeasured() {
        Outcome outcome = run(new Load("bursts, 90 % at one router, 0.25", 8, 0.25, 0.9, true));
        assertThat(outcome.admittedTokensShare()).isGreaterThan(0.5);
    }

    @Test
    public void aCustomerAtFiveTimesItsRateGetsItsWholeRate() {
        Outcome even = run(new Load("even, 5 times the rate", 8, 5, 0, false));
        assertThat(even.admittedTokensShare()).isGreaterThan(0.95);
        Outcome skewed = run(new Load("90 % at one router, 5 times", 8, 5, 0.9, false));
        assertThat(skewed.admittedTokensShare()).isGreaterThan(0.95);
    }

    private static Outcome run(Load load) {
        List<SimulatedCall> calls = calls(load);
        EventTimeline timeline = new EventTimeline();
        CentralBucket central = new CentralBucket(timeline, LIMIT, POLICY);
        SharedBucket shared = new SharedBucket(timeline, LIMIT, POLICY, load.routers());
        for (SimulatedCall call : calls) {
            timeline.at(call.arrivesAtMilliseconds(), () -> central.arrive(call));
            timeline.at(call.arrivesAtMilliseconds(), () -> shared.arrive(call));
        }
        timeline.runUntil(DURATION_MILLISECONDS);
        Outcome outcome = outcome(load, calls, central, shared);
        System.out.println(outcome.row());
        return outcome;
    }

    private static Outcome outcome(
            Load load, List<SimulatedCall> calls, CentralBucket central, SharedBucket shared) {
        long wrongfully =
                calls.stream()
                        .filter(call -> central.admitted().contains(call.id()))
                        .filter(call -> !shared.admitted().contains(call.id()))
                        .count();
        double routerSeconds = load.routers() * DURATION_MILLISECONDS / 1_000.0;
        return new Outcome(
                load,
                calls.size(),
                calls.size() - central.admitted().size(),
                calls.size() - shared.admitted().size(),
                (int) wrongfully,
                tokens(calls, shared.admitted()) / (double) tokens(calls, central.admitted()),
                shared.messages() / routerSeconds,
                shared.bytes() / routerSeconds);
    }

    private static long tokens(List<SimulatedCall> calls, java.util.Set<Long> admitted) {
        return calls.stream()
                .filter(call -> admitted.contains(call.id()))
                .mapToLong(call -> call.promptTokens() + call.answerTokens())
                .sum();
    }

    private static List<SimulatedCall> calls(Load load) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        List<SimulatedCall> calls = new ArrayList<>();
        double meanTokens = 8_300;
        double meanGap = meanTokens * 1_000 / (LIMIT.tokensPerSecond() * load.shareOfRate());
        double at = 10_000;
        while (at < DURATION_MILLISECONDS - 5_000) {
            at += -Math.log(1 - random.nextDouble()) * meanGap;
            long arrives = load.bursts() ? inBurst((long) at) : (long) at;
            calls.add(call(calls.size(), load, arrives, random));
        }
        return calls;
    }

    /** Moves an arrival into the first 200 ms of its period. */
    private static long inBurst(long atMilliseconds) {
        long inPeriod = atMilliseconds % BURST_PERIOD_MILLISECONDS;
        return atMilliseconds - inPeriod + inPeriod / 100;
    }

    private static SimulatedCall call(
            long id, Load load, long arrivesAtMilliseconds, UniformRandomProvider random) {
        boolean first = random.nextDouble() < load.shareOfFirst();
        long maxAnswerTokens = 256 + random.nextLong(256);
        return new SimulatedCall(
                id,
                first ? 0 : random.nextInt(load.routers()),
                arrivesAtMilliseconds,
                4_000 + random.nextLong(8_000),
                maxAnswerTokens,
                random.nextLong(maxAnswerTokens),
                100 + random.nextLong(500),
                500 + random.nextLong(2_500));
    }
}
