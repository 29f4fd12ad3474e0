package org.skylarkbend.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests for {@link DrainSchedule}. */
public class DrainScheduleTest {
    @Test
    public void callsAreAcceptedUntilTheBalancerHasNoticed() {
        assertThat(DrainSchedule.within(8_000)).isEqualTo(new DrainSchedule(2_800, 6_800));
    }

    /** Guards against calls that are accepted when there is no time left to run them. */
    @Test
    public void callsThatAreAcceptedLastHaveHalfOfAShortGracePeriodLeft() {
        assertThat(DrainSchedule.within(4_000)).isEqualTo(new DrainSchedule(1_400, 2_800));
        assertThat(DrainSchedule.within(1_000)).isEqualTo(new DrainSchedule(0, 0));
    }
}
