package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.limits.GatewaySchedule.Defect;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests limits under random schedules of gateways that are silent for a time or for good. */
public class SilentGatewayScheduleTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 200;
    private static final double MIN_SHARE_OF_RATE = 0.9;
    private static final LimitPolicy GATEWAYS = LimitPolicy.forGateways();

    /** Policy of gateways without the tokens that new owners do not count. */
    private static final LimitPolicy EXACT = policy(GATEWAYS, 0, 1, GATEWAYS.lapseMilliseconds());

    static LimitPolicy policy(LimitPolicy policy, long lapseMilliseconds) {
        return policy(
                policy,
                policy.initialFillMilliseconds(),
                policy.unreportedDivisor(),
                lapseMilliseconds);
    }

    private static LimitPolicy policy(
            LimitPolicy policy,
            long initialFillMilliseconds,
            long unreportedDivisor,
            long lapseMilliseconds) {
        return new LimitPolicy(
                policy.holderDivisor(),
                policy.prefetchMilliseconds(),
                policy.reserveDivisor(),
                policy.reportMilliseconds(),
                policy.idleReportMilliseconds(),
                policy.waitMilliseconds(),
                policy.maxWaitingCalls(),
                policy.endpointStopMilliseconds(),
                initialFillMilliseconds,
                unreportedDivisor,
                policy.ownerlessWaitMilliseconds(),
                lapseMilliseconds);
    }

    /** Guards against silent gateways that come back with tokens that others have used. */
    @Test
    public void noWindowExceedsBurstAndRateWhenSilentGatewaysComeBack() {
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES,
                seed -> {
                    GatewaySchedule schedule = new GatewaySchedule(seed, EXACT, Defect.NONE);
                    assertThat(schedule.run()).isLessThanOrEqualTo(schedule.limit().burstTokens());
                });
    }

    /** Guards against a customer whose calls are refused because of gateways that are gone. */
    @Test
    public void theSoundGatewaysGetTheRateSoonAfterTheLastFault() {
        double[] least = {1};
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES,
                seed -> {
                    GatewaySchedule schedule = new GatewaySchedule(seed, GATEWAYS, Defect.NONE);
                    schedule.run();
                    double share =
                            schedule.lateTokens()
                                    * 1_000.0
                                    / GatewaySchedule.MEASURED_MILLISECONDS
                                    / schedule.limit().tokensPerSecond();
                    least[0] = Math.min(least[0], share);
                    assertThat(share).isGreaterThan(MIN_SHARE_OF_RATE);
                });
        System.out.println("limits: sound gateways used " + least[0] + " of the rate at least");
    }

    @Test
    public void newOwnersExceedAWindowByNoMoreThanWhatTheyDoNotCount() {
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SCHEDULES,
                seed -> {
                    GatewaySchedule schedule = new GatewaySchedule(seed, GATEWAYS, Defect.NONE);
                    long maxTokens = schedule.run();
                    long burstTokens = schedule.limit().burstTokens();
                    long uncountedTokens =
                            burstTokens - GATEWAYS.maxUnreportedTokens(schedule.limit());
                    long perTermTokens = GATEWAYS.initialTokens(schedule.limit()) + uncountedTokens;
                    assertThat(maxTokens)
                            .isLessThanOrEqualTo(burstTokens + schedule.term() * perTermTokens);
                });
    }

    @Test
    public void gatewaysThatKeepTheirTokensAreDetected() {
        assertThat(isDetected(Defect.KEEPS_TOKENS)).isTrue();
    }

    @Test
    public void gatewaysThatDoNotCountSuspensionsAreDetected() {
        assertThat(isDetected(Defect.MISSES_SUSPENSIONS)).isTrue();
    }

    private static boolean isDetected(Defect defect) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            GatewaySchedule schedule = new GatewaySchedule(seed, EXACT, defect);
            if (schedule.run() > schedule.limit().burstTokens()) {
                System.out.println("limits: " + defect + " is detected by seed " + seed);
                return true;
            }
        }
        return false;
    }
}
