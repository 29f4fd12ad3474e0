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
            returning[(int) ((after(LONG_MILLISECONDS) - SHORTEST_MILLISECONDS) / 31)]++;
        }
        assertThat(Arrays.stream(returning).max().orElseThrow()).isLessThan(CALLERS / 5);
    }

    /** Guards against a return that makes a call late which could have been in time. */
    @Test
    public void callersWhoCanStillBeServedInTimeReturnWithinHalfOfWhatIsLeft() {
        for (int i = 0; i < CALLERS; i++) {
            assertThat(after(300)).isBetween(SHORTEST_MILLISECONDS, 150L);
        }
    }

    @Test
    public void callersWhoAreLateInAnyCaseReturnAfterThoseWhoAreNot() {
        for (int i = 0; i < CALLERS; i++) {
            assertThat(after(-1)).isGreaterThanOrEqualTo(after(1_000));
        }
    }

    /** Guards against a caller that is told to return when it will have given up. */
    @Test
    public void noCallerIsToldToWaitForMoreThanAThirdOfItsTime() {
        assertThat(mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 0, 900)).isEqualTo(300);
        assertThat(mTimes.afterMilliseconds(SHORTEST_MILLISECONDS, 0, -5))
                .isEqualTo(SHORTEST_MILLISECONDS);
    }

    private long after(long targetMilliseconds) {
        return mTimes.afterMilliseconds(
                SHORTEST_MILLISECONDS, targetMilliseconds, LONG_MILLISECONDS);
    }
}
