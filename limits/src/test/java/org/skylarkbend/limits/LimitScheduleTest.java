package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests that no window exceeds its limit under random schedules of failures. */
public class LimitScheduleTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 2_000;
    private static final int SCHEDULES_WITH_INITIAL_FILL = 500;
    private static final long INITIAL_FILL_MILLISECONDS = 300;
    private static final int MAX_DEFECT_SCHEDULES = 4_000;
    private static final long UNREPORTED_DIVISOR = 4;

    @Test
    public void noWindowExceedsBurstAndRateUnderAnySchedule() {
        long[] usedTokens = {0};
        double[] closest = {0};
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES,
                seed -> {
                    LimitSimulation simulation =
                            new LimitSimulation(seed, LimitSimulation.Defect.NONE);
                    long maxTokens = simulation.run();
                    assertThat(maxTokens).isLessThanOrEqualTo(simulation.limit().burstTokens());
                    usedTokens[0] += simulation.checker().totalTokens();
                    closest[0] = Math.max(closest[0], share(maxTokens, simulation));
                });
        assertThat(usedTokens[0]).isGreaterThan(SCHEDULES * 1_000L);
        assertThat(closest[0]).isGreaterThan(0.9);
        System.out.println("limits: tightest window used " + closest[0] + " of its burst");
    }

    @Test
    public void initialFillsOfNewOwnersExceedAWindowByNoMoreThanTheirTokens() {
        int[] used = {0};
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES_WITH_INITIAL_FILL,
                seed -> {
                    LimitSimulation simulation =
                            new LimitSimulation(
                                    seed, LimitSimulation.Defect.NONE, INITIAL_FILL_MILLISECONDS);
                    long maxTokens = simulation.run();
                    long burstTokens = simulation.limit().burstTokens();
                    long initialTokens = simulation.policy().initialTokens(simulation.limit());
                    assertThat(maxTokens)
                            .isLessThanOrEqualTo(burstTokens + simulation.term() * initialTokens);
                    used[0] += maxTokens > burstTokens ? 1 : 0;
                });
        assertThat(used[0]).as("schedules in which an initial fill was used").isPositive();
        System.out.println("limits: " + used[0] + " schedules used more than their burst");
    }

    @Test
    public void unreportedRoutersExceedAWindowByNoMoreThanWhatNewOwnersDoNotCount() {
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES_WITH_INITIAL_FILL,
                seed -> {
                    LimitSimulation simulation =
                            new LimitSimulation(
                                    seed,
                                    LimitSimulation.Defect.NONE,
                                    INITIAL_FILL_MILLISECONDS,
                                    UNREPORTED_DIVISOR);
                    long maxTokens = simulation.run();
                    long burstTokens = simulation.limit().burstTokens();
                    long initialTokens = simulation.policy().initialTokens(simulation.limit());
                    long perTermTokens = initialTokens + burstTokens / UNREPORTED_DIVISOR;
                    assertThat(maxTokens)
                            .isLessThanOrEqualTo(burstTokens + simulation.term() * perTermTokens);
                });
    }

    private static double share(long tokens, LimitSimulation simulation) {
        return tokens / (double) simulation.limit().burstTokens();
    }

    @Test
    public void anOwnerThatGrantsWithoutAQuorumRoundIsDetected() {
        assertThat(isDetected(new LimitSimulation.Defect(true, false))).isTrue();
    }

    @Test
    public void aNewOwnerThatCountsNoEarlierGrantsIsDetected() {
        assertThat(isDetected(new LimitSimulation.Defect(false, true))).isTrue();
    }

    private static boolean isDetected(LimitSimulation.Defect defect) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + MAX_DEFECT_SCHEDULES; seed++) {
            LimitSimulation simulation = new LimitSimulation(seed, defect);
            if (simulation.run() > simulation.limit().burstTokens()) {
                System.out.println("limits: " + defect + " is detected by seed " + seed);
                return true;
            }
        }
        return false;
    }
}
