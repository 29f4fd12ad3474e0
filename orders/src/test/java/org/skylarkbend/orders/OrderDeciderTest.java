package org.skylarkbend.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.orders.FencingMessage.FencingRecorded;
import org.skylarkbend.orders.FencingMessage.TakeCommand;
import org.skylarkbend.orders.OrderEffect.RecordFencing;
import org.skylarkbend.orders.OrderEffect.SendOrder;
import org.skylarkbend.orders.OrderMessage.CommandTaken;
import org.skylarkbend.orders.OrderMessage.LeaseRenewed;
import org.skylarkbend.orders.OrderMessage.OrderRefused;
import org.skylarkbend.orders.OrderMessage.StateRead;
import org.skylarkbend.orders.OrderMessage.Wanted;
import org.skylarkbend.orders.OrderMessage.WantedVersion;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests orders to endpoints while commanders are replaced at random times. */
public class OrderDeciderTest {
    private static final int RUNS = 400;
    private static final ObjectName ENGINE = ObjectName.of("engine-1");
    private static final ObjectName OLD = ObjectName.of("old");
    private static final ObjectName NEW = ObjectName.of("new");

    @Test
    public void noOrderOfAFormerCommanderIsExecutedAfterOneOfItsSuccessor() {
        AtomicInteger replaced = new AtomicInteger();
        SeededRuns.forEachSeed(
                1,
                RUNS,
                seed -> {
                    SimulatedEndpoints run = new SimulatedEndpoints(seed);
                    run.run();
                    replaced.addAndGet(run.ordersOfFormerCommanders());
                    assertThat(run.outOfOrder()).isEmpty();
                    assertThat(run.mismatches()).isEmpty();
                    assertThat(run.wrongFencing()).isEmpty();
                });
        assertThat(replaced.get()).as("orders of former commanders in flight").isPositive();
    }

    @Test
    public void anEndpointThatDoesNotCheckIsLeftAloneUntilTheFormerLeaseHasEnded() {
        OrderState state = commanding(Fencing.IGNORED);
        long waitMilliseconds = OrderDecider.TAKEOVER_WAIT_MILLISECONDS;
        assertThat(effects(state, new OrderMessage.Tick(), waitMilliseconds - 1)).isEmpty();
        assertThat(effects(state, new OrderMessage.Tick(), waitMilliseconds))
                .containsExactly(new OrderEffect.ReadState(ENGINE));
    }

    @Test
    public void anEndpointThatChecksGetsItsFirstOrderAtOnce() {
        OrderState state = commanding(Fencing.CHECKED);
        state = OrderDecider.decide(state, new OrderMessage.Tick(), 1).state();
        EndpointReport report = new EndpointReport(1, new java.util.TreeSet<>(List.of(OLD)), 4);
        assertThat(effects(state, new StateRead(ENGINE, report), 2))
                .contains(new SendOrder(ENGINE, 5, OrderKind.LOAD_VERSION, NEW));
    }

    @Test
    public void aCommanderThatMeetsALargerNumberStopsAndClaimsAnew() {
        OrderState state = commanding(Fencing.CHECKED);
        OrderDecider.Decision decision =
                OrderDecider.decide(state, new OrderRefused(ENGINE, 5, 9), 1);
        assertThat(decision.state().command()).isEmpty();
        assertThat(decision.effects()).containsExactly(new OrderEffect.ReclaimCommand(9));
    }

    @Test
    public void fencingNumbersOnlyGrowAndSurviveTheSnapshot() {
        FencingCodec codec = new FencingCodec();
        FencingState state =
                FencingState.empty()
                        .after(new TakeCommand(ObjectName.of("vm-1"), 0))
                        .after(new FencingRecorded(ENGINE, Fencing.CHECKED))
                        .after(new TakeCommand(ObjectName.of("vm-2"), 9));
        assertThat(state.fencingNumber()).isEqualTo(10);
        assertThat(codec.decodeState(codec.encodeState(state))).isEqualTo(Result.success(state));
    }

    @Test
    public void theProbeTellsWhetherAnEndpointChecks() {
        OrderState state = commanding(Fencing.UNKNOWN);
        long nowMilliseconds = OrderDecider.TAKEOVER_WAIT_MILLISECONDS;
        state = OrderDecider.decide(state, new OrderMessage.Tick(), nowMilliseconds).state();
        EndpointReport report = new EndpointReport(1, new java.util.TreeSet<>(List.of(OLD)), 4);
        OrderDecider.Decision probe =
                OrderDecider.decide(state, new StateRead(ENGINE, report), nowMilliseconds);
        assertThat(probe.effects())
                .containsExactly(new SendOrder(ENGINE, 0, OrderKind.LOAD_VERSION, OLD));
        assertThat(effects(probe.state(), new OrderRefused(ENGINE, 0, 4), nowMilliseconds))
                .contains(new RecordFencing(ENGINE, Fencing.CHECKED));
    }

    private static OrderState commanding(Fencing fencing) {
        OrderState state = OrderState.started(Map.of(ENGINE, fencing));
        state = OrderDecider.decide(state, new CommandTaken(5), 0).state();
        state = OrderDecider.decide(state, new LeaseRenewed(100_000), 0).state();
        Wanted wanted = new Wanted(List.of(new WantedVersion(ENGINE, NEW, true)));
        return fencing == Fencing.CHECKED
                ? state.withWanted(wanted.versions())
                : OrderDecider.decide(state, wanted, 0).state();
    }

    private static List<OrderEffect> effects(
            OrderState state, OrderMessage message, long nowMilliseconds) {
        return OrderDecider.decide(state, message, nowMilliseconds).effects();
    }
}
