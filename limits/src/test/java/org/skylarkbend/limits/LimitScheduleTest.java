package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** The bound of every window, under random schedules of failures. */
public class LimitScheduleTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 2_000;
    private static final int SCHEDULES_WITH_HEAD_START = 500;
    private static final long HEAD_START_MILLISECONDS = 300;
    private static final int MOST_WEAK_SCHEDULES = 4_000;

    @Test
    public void noWindowExceedsBurstAndRateUnderAnySchedule() {
        long[] usedTokens = {0};
        double[] closest = {0};
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES,
                seed -> {
                    LimitWorld world = new LimitWorld(seed, LimitWorld.Weakness.NONE);
                    long mostTokens = world.run();
                    assertThat(mostTokens).isLessThanOrEqualTo(world.limit().burstTokens());
                    usedTokens[0] += world.checker().totalTokens();
                    closest[0] = Math.max(closest[0], share(mostTokens, world));
                });
        assertThat(usedTokens[0]).isGreaterThan(SCHEDULES * 1_000L);
        assertThat(closest[0]).isGreaterThan(0.9);
        System.out.println("limits: tightest window used " + closest[0] + " of its burst");
    }

    @Test
    public void headStartsOfNewOwnersExceedAWindowByNoMoreThanTheirTokens() {
        int[] used = {0};
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES_WITH_HEAD_START,
                seed -> {
                    LimitWorld world =
                            new LimitWorld(seed, LimitWorld.Weakness.NONE, HEAD_START_MILLISECONDS);
                    long mostTokens = world.run();
                    long burstTokens = world.limit().burstTokens();
                    long headStartTokens = world.policy().headStartTokens(world.limit());
                    assertThat(mostTokens)
                            .isLessThanOrEqualTo(burstTokens + world.term() * headStartTokens);
                    used[0] += mostTokens > burstTokens ? 1 : 0;
                });
        assertThat(used[0]).as("schedules in which a head start was used").isPositive();
        System.out.println("limits: " + used[0] + " schedules used more than their burst");
    }

    private static double share(long tokens, LimitWorld world) {
        return tokens / (double) world.limit().burstTokens();
    }

    @Test
    public void anOwnerThatGrantsWithoutAQuorumRoundIsFoundOut() {
        assertThat(isFoundOut(new LimitWorld.Weakness(true, false))).isTrue();
    }

    @Test
    public void aNewOwnerThatCountsNoAllowancesOfBeforeIsFoundOut() {
        assertThat(isFoundOut(new LimitWorld.Weakness(false, true))).isTrue();
    }

    private static boolean isFoundOut(LimitWorld.Weakness weakness) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + MOST_WEAK_SCHEDULES; seed++) {
            LimitWorld world = new LimitWorld(seed, weakness);
            if (world.run() > world.limit().burstTokens()) {
                System.out.println("limits: " + weakness + " is found out by seed " + seed);
                return true;
            }
        }
        return false;
    }
}
