package org.skylarkbend.control.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.limits.RouterIdentity;
import org.testng.annotations.Test;

/** Tests the aggregation of in-flight work across gateways. */
public class WorkDeciderTest {
    private static final RouterIdentity ONE = new RouterIdentity(ObjectName.of("vm-1"), 1);
    private static final RouterIdentity TWO = new RouterIdentity(ObjectName.of("vm-2"), 1);

    @Test
    public void eachGatewayLearnsWhatAllOthersHaveUnderWay() {
        WorkDecider decider = new WorkDecider();
        decider.update(ONE, Map.of("a", new EndpointWork(900, 2)), 0);
        decider.update(TWO, Map.of("a", new EndpointWork(100, 1), "b", new EndpointWork(50, 1)), 0);
        assertThat(decider.workOfOthers(10))
                .containsEntry(
                        ONE, Map.of("a", new EndpointWork(100, 1), "b", new EndpointWork(50, 1)))
                .containsEntry(TWO, Map.of("a", new EndpointWork(900, 2)));
    }

    @Test
    public void whatAGatewayThatHasGoneHadUnderWayCountsNoMore() {
        WorkDecider decider = new WorkDecider();
        decider.update(ONE, Map.of("a", new EndpointWork(900, 2)), 0);
        decider.update(TWO, Map.of(), WorkDecider.GATEWAY_TIMEOUT_MILLISECONDS);
        assertThat(decider.workOfOthers(WorkDecider.GATEWAY_TIMEOUT_MILLISECONDS))
                .containsEntry(TWO, Map.of("a", new EndpointWork(900, 2)));
        assertThat(decider.workOfOthers(WorkDecider.GATEWAY_TIMEOUT_MILLISECONDS + 1))
                .containsOnly(Map.entry(TWO, Map.of()));
    }
}
