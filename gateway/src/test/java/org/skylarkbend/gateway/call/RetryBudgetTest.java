package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests the limit on the number of retries. */
public class RetryBudgetTest {
    @Test
    public void retriesStayAFractionOfTheCallsOnceTheBudgetIsUsedUp() {
        RetryBudget budget = new RetryBudget(0.1, 3);
        int taken = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordCall("desk");
            taken += budget.tryTake("desk") ? 1 : 0;
        }
        assertThat(taken).isBetween(100, 103);
    }

    @Test
    public void oneServiceDoesNotUseUpTheRetriesOfAnother() {
        RetryBudget budget = new RetryBudget(0, 1);
        assertThat(budget.tryTake("desk")).isTrue();
        assertThat(budget.tryTake("desk")).isFalse();
        assertThat(budget.tryTake("stock")).isTrue();
    }
}
