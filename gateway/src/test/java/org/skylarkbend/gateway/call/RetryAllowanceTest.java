package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** How many calls are sent a second time. */
public class RetryAllowanceTest {
    @Test
    public void retriesStayAPartOfTheCallsOnceTheSavedOnesAreGone() {
        RetryAllowance allowance = new RetryAllowance(0.1, 3);
        int taken = 0;
        for (int i = 0; i < 1_000; i++) {
            allowance.called("desk");
            taken += allowance.take("desk") ? 1 : 0;
        }
        assertThat(taken).isBetween(100, 103);
    }

    @Test
    public void oneServiceDoesNotUseUpTheRetriesOfAnother() {
        RetryAllowance allowance = new RetryAllowance(0, 1);
        assertThat(allowance.take("desk")).isTrue();
        assertThat(allowance.take("desk")).isFalse();
        assertThat(allowance.take("stock")).isTrue();
    }
}
