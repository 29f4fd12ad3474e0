package org.skylarkbend.base;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Checks the limit of log lines per second. */
public class LogRateLimiterTest {
    @Test
    public void linesOverTheLimitOfASecondAreDroppedAndCounted() {
        LogRateLimiter limiter = new LogRateLimiter(3);
        int written = 0;
        for (int i = 0; i < 10; i++) {
            written += limiter.tryAcquire(5_000) ? 1 : 0;
        }
        assertThat(written).isEqualTo(3);
        assertThat(limiter.takeDropped()).isEqualTo(7);
        assertThat(limiter.takeDropped()).isZero();
    }

    @Test
    public void theLimitIsResetInTheNextSecond() {
        LogRateLimiter limiter = new LogRateLimiter(1);
        assertThat(limiter.tryAcquire(0)).isTrue();
        assertThat(limiter.tryAcquire(999)).isFalse();
        assertThat(limiter.tryAcquire(1_000)).isTrue();
    }
}
