package org.skylarkbend.moves.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.moves.rollout.SimulatedRollout.Behavior;
import org.skylarkbend.moves.rollout.SimulatedRollout.Quality;
import org.skylarkbend.moves.rollout.SimulatedRollout.Trouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the judgement of new versions on simulated calls, at the traffic of small and large sites.
 */
public class RolloutJudgeTest {
    private static final long NEVER = -1;
    private static final int SEEDS = 40;

    /** Two seconds before a rollout has to end: the times of several reports and decisions. */
    private static final long LAST_NOTICED_MILLISECONDS =
            SimulatedRollout.DURATION_MILLISECONDS - 2_000;

    private static final long ROLLBACK_MILLISECONDS = 5_000;

    @DataProvider
    private Object[] callsPerSecond() {
        return new Object[] {12.0, 25.0, 145.0, 420.0};
    }

    @Test(dataProvider = "callsPerSecond")
    public void aGoodVersionIsBroughtInInTime(double callsPerSecond) {
        int completed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Behavior good = (now, route, share) -> Quality.GOOD;
            SimulatedRollout run = new SimulatedRollout(seed, callsPerSecond, NEVER, good);
            completed += run.run().phase() == RolloutPhase.COMPLETED ? 1 : 0;
        }
        assertThat(completed).isGreaterThanOrEqualTo(SEEDS - 2);
    }

    @Test(dataProvider = "callsPerSecond")
    public void aGoodVersionIsBroughtInAlthoughTheLeaderIsLostInTheMiddle(double callsPerSecond) {
        int completed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Behavior good = (now, route, share) -> Quality.GOOD;
            SimulatedRollout run = new SimulatedRollout(seed, callsPerSecond, 4_500, good);
            completed += run.run().phase() == RolloutPhase.COMPLETED ? 1 : 0;
        }
        int expected = callsPerSecond < 25 ? SEEDS / 4 : SEEDS - 2;
        assertThat(completed).isGreaterThanOrEqualTo(expected);
    }

    @Test(dataProvider = "callsPerSecond")
    public void aVersionThatFailsIsRolledBackWithinItsLimit(double callsPerSecond) {
        checkBad(callsPerSecond, NEVER, (now, route, share) -> new Quality(0.4, 0));
    }

    @Test(dataProvider = "callsPerSecond")
    public void aVersionThatFailsIsRolledBackAlthoughTheLeaderIsLost(double callsPerSecond) {
        checkBad(callsPerSecond, 3_000, (now, route, share) -> new Quality(0.4, 0));
    }

    @Test(dataProvider = "callsPerSecond")
    public void aSlowVersionIsRolledBackWithinItsLimit(double callsPerSecond) {
        checkBad(callsPerSecond, NEVER, (now, route, share) -> new Quality(0.02, 0.5));
    }

    @Test(dataProvider = "callsPerSecond")
    public void aVersionThatFailsOnOneRouteIsRolledBackWithinItsLimit(double callsPerSecond) {
        checkBad(
                callsPerSecond,
                NEVER,
                (now, route, share) -> route == 0 ? new Quality(0.6, 0) : Quality.GOOD);
    }

    @Test(dataProvider = "callsPerSecond")
    public void aVersionThatFailsOnlyOnceItHasMoreCallsIsRolledBack(double callsPerSecond) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Behavior bad =
                    (now, route, share) ->
                            share > 0.2 && now > 5_000 ? new Quality(0.6, 0) : Quality.GOOD;
            SimulatedRollout run = new SimulatedRollout(seed, callsPerSecond, NEVER, bad);
            assertThat(run.run().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
            assertThat(run.servedAfterFiftiethBadMilliseconds()).isLessThan(ROLLBACK_MILLISECONDS);
        }
    }

    @Test
    public void aVersionWithoutEndpointsIsRolledBackBeforeTheTimeIsOver() {
        Rollout rollout =
                RolloutState.empty()
                        .after(new RolloutMessage.Ordered("desk", "v2", 14_000), 0)
                        .fold(state -> state.of("desk").orElseThrow(), error -> null);
        RolloutJudge judge = new RolloutJudge(rollout, SimulatedRollout.LIMIT, true, 0, 0);
        RolloutFleet empty = new RolloutFleet(false, java.util.Set.of("v1"), 3, 0);
        assertThat(judge.decide(empty, 5_000))
                .isEqualTo(new RolloutDecision(0, java.util.Optional.empty()));
        assertThat(judge.decide(empty, 13_000).advance().orElseThrow().phase())
                .isEqualTo(RolloutPhase.ROLLED_BACK);
    }

    /**
     * Guards against a version that is brought in because calls that hang are no evidence yet. A
     * silence that begins shortly before the end cannot be told from usual responses.
     */
    @Test(dataProvider = "callsPerSecond")
    public void aVersionThatFallsSilentOnceItHasMoreCallsIsNotBroughtIn(double callsPerSecond) {
        Behavior good = (now, route, share) -> Quality.GOOD;
        for (double aboveShare : new double[] {0.2, 0.3, 0.6}) {
            Trouble silent = new Trouble(aboveShare, true, 0);
            int rolledBack = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                SimulatedRollout run =
                        new SimulatedRollout(seed, callsPerSecond, NEVER, good, silent);
                boolean isBroughtIn = run.run().phase() != RolloutPhase.ROLLED_BACK;
                rolledBack += isBroughtIn ? 0 : 1;
                assertThat(
                                isBroughtIn
                                        && run.troubleBeganMilliseconds()
                                                < LAST_NOTICED_MILLISECONDS)
                        .as(
                                "above %f, seed %d, at %d",
                                aboveShare, seed, run.troubleBeganMilliseconds())
                        .isFalse();
            }
            assertThat(rolledBack).as("silences in time").isGreaterThanOrEqualTo(SEEDS / 2);
        }
    }

    /** Guards against a good version that is given up because gateways report late for a while. */
    @Test(dataProvider = "callsPerSecond")
    public void aGoodVersionIsBroughtInAlthoughReportsAreLateForAWhile(double callsPerSecond) {
        int completed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Behavior good = (now, route, share) -> Quality.GOOD;
            Trouble late = new Trouble(0.01, false, 1_500);
            SimulatedRollout run = new SimulatedRollout(seed, callsPerSecond, NEVER, good, late);
            completed += run.run().phase() == RolloutPhase.COMPLETED ? 1 : 0;
        }
        assertThat(completed).isGreaterThanOrEqualTo(SEEDS - 2);
    }

    private static void checkBad(double callsPerSecond, long leaderLostMilliseconds, Behavior bad) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRollout run =
                    new SimulatedRollout(seed, callsPerSecond, leaderLostMilliseconds, bad);
            assertThat(run.run().phase()).as("seed %d", seed).isEqualTo(RolloutPhase.ROLLED_BACK);
            assertThat(run.callsBeyondLimit()).as("seed %d", seed).isZero();
            assertThat(run.servedAfterFiftiethBadMilliseconds())
                    .as("seed %d", seed)
                    .isLessThan(ROLLBACK_MILLISECONDS);
        }
    }
}
