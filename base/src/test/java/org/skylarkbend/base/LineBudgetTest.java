package org.skylarkbend.base;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** How many lines a process writes. */
public class LineBudgetTest {
    @Test
    public void moreThanTheBudgetOfASecondIsDroppedAndCounted() {
        LineBudget budget = new LineBudget(3);
        int written = 0;
        for (int i = 0; i < 10; i++) {
            written += budget.take(5_000) ? 1 : 0;
        }
        assertThat(written).isEqualTo(3);
        assertThat(budget.takeDropped()).isEqualTo(7);
        assertThat(budget.takeDropped()).isZero();
    }

    @Test
    public void theNextSecondHasABudgetOfItsOwn() {
        LineBudget budget = new LineBudget(1);
        assertThat(budget.take(0)).isTrue();
        assertThat(budget.take(999)).isFalse();
        assertThat(budget.take(1_000)).isTrue();
    }
}
