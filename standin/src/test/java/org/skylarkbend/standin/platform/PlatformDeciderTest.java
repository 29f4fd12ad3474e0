package org.skylarkbend.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the lag of the platform's list. */
public class PlatformDeciderTest {
    @Test
    public void aChangeShowsOnlyAfterTheLag() {
        PlatformDecider platform = new PlatformDecider(1_000, List.of(), List.of(), 0);
        ListedEndpoint leaving = new ListedEndpoint("engine-1", ListedState.LEAVING);
        platform.replace(List.of(), List.of(leaving), 5_000);
        assertThat(platform.visibleList(5_999).endpoints()).isEmpty();
        assertThat(platform.visibleList(6_000).endpoints()).containsExactly(leaving);
        assertThat(platform.visibleList(6_000).generation()).isEqualTo(2);
    }
}
