package org.skylarkbend.placement.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests what an estimate learns of engines whose speed differs from the assumed one. */
public class FirstEventEstimateTest {
    private static final double ASSUMED = 30;
    private static final int RESPONSES = 60;

    @Test
    public void withoutResponsesTheAssumedSpeedCounts() {
        assertThat(new FirstEventEstimate(ASSUMED).milliseconds(9_000)).isEqualTo(300);
    }

    /** The load: prompts of very different sizes at engines that are several times as fast. */
    @Test
    public void afterSomeResponsesTheEstimateFollowsTheEnginesAndNotTheAssumption() {
        for (double speed : new double[] {10, 50, 112, 400}) {
            FirstEventEstimate estimate = new FirstEventEstimate(ASSUMED);
            Random random = new Random(1);
            for (int i = 0; i < RESPONSES; i++) {
                double tokens = 20_000 * random.nextDouble();
                estimate.observed(tokens, 40 + tokens / speed * (0.8 + 0.4 * random.nextDouble()));
            }
            double actual = 40 + 10_000 / speed;
            assertThat(estimate.milliseconds(10_000)).isCloseTo(actual, within(0.25 * actual));
        }
    }

    /** Guards against an engine that loads weights and makes all others seem slow. */
    @Test
    public void aResponseThatTookSecondsDoesNotMakeTheOthersSeemSlow() {
        FirstEventEstimate estimate = new FirstEventEstimate(ASSUMED);
        Random random = new Random(2);
        for (int i = 0; i < RESPONSES; i++) {
            double tokens = 20_000 * random.nextDouble();
            estimate.observed(tokens, i % 20 == 0 ? 4_000 : 40 + tokens / 112);
        }
        assertThat(estimate.milliseconds(10_000)).isLessThan(3 * (40 + 10_000 / 112.0));
    }

    @Test
    public void responsesOfOneSizeDoNotMakeTheEstimateNegativeOrEndless() {
        FirstEventEstimate estimate = new FirstEventEstimate(ASSUMED);
        for (int i = 0; i < 1_000; i++) {
            estimate.observed(500, 0);
        }
        assertThat(estimate.milliseconds(0)).isGreaterThanOrEqualTo(0);
        assertThat(estimate.milliseconds(100_000)).isBetween(0.0, 100_000 / 5.0 + 1);
    }
}
