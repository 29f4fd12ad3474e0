package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what counts as a suspension of the VM. */
public class SuspensionDetectorTest {
    private static final long SECOND_MILLISECONDS = 1_000;

    private long mSteadyMilliseconds;
    private long mWallMilliseconds;
    private SuspensionDetector mDetector;

    @BeforeMethod
    public void createDetector() {
        mSteadyMilliseconds = 5_000;
        mWallMilliseconds = 1_700_000_000_000L;
        mDetector = new SuspensionDetector(() -> mWallMilliseconds, mSteadyMilliseconds);
    }

    @Test
    public void timeThatBothClocksCountIsNoSuspension() {
        assertThat(afterSteps(60 * SECOND_MILLISECONDS, 60 * SECOND_MILLISECONDS)).isZero();
    }

    @Test
    public void timeThatOnlyTheTimeOfDayCountsIsASuspension() {
        assertThat(afterSteps(10, 9 * SECOND_MILLISECONDS + 10)).isEqualTo(9 * SECOND_MILLISECONDS);
        assertThat(afterSteps(10, 10)).as("it counts once").isZero();
    }

    @Test
    public void roundingAndAdjustmentOfTheClocksDoNotAddUpToASuspension() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(afterSteps(10, 10 + i % 2)).isZero();
            assertThat(afterSteps(10, 10 - i % 2)).isZero();
        }
    }

    /** Guards against a suspension that is missed after the time of day was set back. */
    @Test
    public void aSuspensionAfterAStepBackIsDetected() {
        assertThat(afterSteps(10, 10 - 5 * SECOND_MILLISECONDS)).isZero();
        assertThat(afterSteps(0, 4 * SECOND_MILLISECONDS)).isEqualTo(4 * SECOND_MILLISECONDS);
    }

    private long afterSteps(long steadyMilliseconds, long wallMilliseconds) {
        mSteadyMilliseconds += steadyMilliseconds;
        mWallMilliseconds += wallMilliseconds;
        return mDetector.suspendedMilliseconds(mSteadyMilliseconds);
    }
}
