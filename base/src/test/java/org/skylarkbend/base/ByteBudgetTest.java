package org.skylarkbend.base;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.Test;

/** Tests for {@link ByteBudget}. */
public class ByteBudgetTest {
    @Test
    public void noMoreThanTheLimitIsGivenOutAndWhatIsReleasedCanBeTakenAgain() {
        MetricRegistry metrics = new MetricRegistry();
        ByteBudget budget = new ByteBudget("bodies", 100, metrics);
        assertThat(budget.tryTake(60)).isTrue();
        assertThat(budget.tryTake(41)).isFalse();
        assertThat(budget.tryTake(40)).isTrue();
        assertThat(budget.usedBytes()).isEqualTo(100);
        budget.release(60);
        assertThat(budget.tryTake(60)).isTrue();
        assertThat(metrics.counter("bodies_bytes").getCount()).isEqualTo(100);
        assertThat(metrics.counter("bodies_bytes_refused").getCount()).isEqualTo(41);
    }
}
