package org.skylarkbend.placement.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests when callers that were refused together come back. */
public class ReturnTimesTest {
    private static final int CALLERS = 3_000;
    private static final long SHORTEST_MILLISECONDS = 100;
    private static final long LONG_MILLISECONDS = 60_000;

    private final ReturnTimes mTimes = new ReturnTimes(new Random(1)::nextDouble);

    /** The load: thousands of callers are refused in the same moment. */
    @Test
    public void callersThatAreRefusedTogetherDoNotComeBackTogether() {
        int[] returning = new int[10];
        for (int i = 0; i < CALLERS; i++) {
            long after = mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 0, LONG_MILLISECONDS);
            returning[(int) ((after - SHORTEST_MILLISECONDS) / 31)]++;
        }
        assertThat(Arrays.stream(returning).max().orElseThrow()).isLessThan(CALLERS / 5);
    }

    @Test
    public void urgentCallersHaveReturnedBeforeLessUrgentOnesBegin() {
        for (int i = 0; i < CALLERS; i++) {
            long urgent = mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 0, LONG_MILLISECONDS);
            long other = mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 1, LONG_MILLISECONDS);
            assertThat(urgent).isBetween(SHORTEST_MILLISECONDS, other);
        }
    }

    /** Guards against a caller that is told to return when it will have given up. */
    @Test
    public void noCallerIsToldToWaitForMoreThanAThirdOfItsTime() {
        assertThat(mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 9, 900)).isLessThan(301);
        assertThat(mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 9, -5))
                .isEqualTo(SHORTEST_MILLISECONDS);
    }
}
