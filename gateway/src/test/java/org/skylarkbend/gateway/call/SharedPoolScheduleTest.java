package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests what many gateways, which learn of each other's calls late, make of a pool of engines. */
public class SharedPoolScheduleTest {
    private static final int SCHEDULES = 2;

    /** Share of the worth owed that each kind of calls earns at least. */
    private static final double MIN_SHARE_OF_A_KIND = 0.33;

    /** Share of the worth owed that all calls together earn at least. */
    private static final double MIN_SHARE = 0.48;

    private static final PoolCall.Kind SUMMARY =
            new PoolCall.Kind(
                    "summary",
                    2,
                    171,
                    List.of(
                            new PoolCall.Part(2_520, 4),
                            new PoolCall.Part(3_780, 1_846),
                            new PoolCall.Part(2_890, 1_000_000)),
                    7,
                    1_215,
                    300,
                    4_860,
                    0.78,
                    0.34);
    private static final PoolCall.Kind QUESTION =
            new PoolCall.Kind(
                    "question",
                    0,
                    194,
                    List.of(
                            new PoolCall.Part(119, 17),
                            new PoolCall.Part(79, 1_201),
                            new PoolCall.Part(628, 1_000_000)),
                    42,
                    407,
                    300,
                    2_440,
                    4.1,
                    0.49);
    private static final PoolSchedule.Site SITE =
            new PoolSchedule.Site(
                    69,
                    63,
                    new BatchEngine.Spec(24, 72, 108_383, 4.37, 0.11, 93.6, 4_096, 7, 1_300),
                    18,
                    List.of(SUMMARY, QUESTION));

    /**
     * Guards against urgent calls that are late since all gateways send them to the few engines
     * which the last sum of their work shows as idle.
     */
    @Test
    public void urgentCallsEarnTheirShareBesideABurstOfLongPromptsAndLoadsOfWeights() {
        PoolSchedule.Plan plan =
                new PoolSchedule.Plan(
                        18_000,
                        List.of(
                                new PoolSchedule.Burst(SUMMARY.name(), 2.3, 3_300, 8_300),
                                new PoolSchedule.Burst(QUESTION.name(), 1.7, 6_100, 11_100),
                                new PoolSchedule.Burst(QUESTION.name(), 1.7, 14_000, 17_800)),
                        List.of(2_000L, 5_000L, 9_000L, 13_000L));
        SeededRuns.forEachSeed(
                1,
                SCHEDULES,
                seed -> {
                    PoolSchedule schedule = new PoolSchedule(SITE, plan, seed);
                    schedule.run();
                    assertThat(schedule.worth(QUESTION).share())
                            .as("share of the worth of the urgent kind")
                            .isGreaterThan(MIN_SHARE_OF_A_KIND);
                    assertThat(schedule.worth(SUMMARY).share())
                            .as("share of the worth of the kind with long prompts")
                            .isGreaterThan(MIN_SHARE_OF_A_KIND);
                    assertThat(schedule.worth().share())
                            .as("share of all worth")
                            .isGreaterThan(MIN_SHARE);
                });
    }

    /** Guards against engines without calls beside others that are sent more than they can run. */
    @Test
    public void theCallsOfManyGatewaysSpreadOverAllEnginesInCalm() {
        PoolSchedule.Plan plan = new PoolSchedule.Plan(6_000, List.of(), List.of());
        SeededRuns.forEachSeed(
                1,
                SCHEDULES,
                seed -> {
                    PoolSchedule schedule = new PoolSchedule(SITE, plan, seed);
                    schedule.run();
                    int most =
                            schedule.engines().stream()
                                    .mapToInt(BatchEngine::mostCalls)
                                    .max()
                                    .orElseThrow();
                    assertThat(most)
                            .as("most calls at an engine")
                            .isLessThanOrEqualTo(SITE.spec().slots());
                });
    }
}
