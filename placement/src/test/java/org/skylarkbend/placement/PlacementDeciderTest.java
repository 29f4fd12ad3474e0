package org.skylarkbend.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;
import org.skylarkbend.placement.PlacementMessage.EndpointRemoved;
import org.skylarkbend.placement.PlacementMessage.FirstTokenReceived;
import org.skylarkbend.placement.PlacementMessage.LoadReport;
import org.skylarkbend.placement.PlacementMessage.RequestFailed;
import org.skylarkbend.placement.PlacementMessage.RequestSent;
import org.testng.annotations.Test;

/** Tests endpoint selection by cached prefix, backlog, priority and endpoint state. */
public class PlacementDeciderTest {
    private static final ObjectName POOL = ObjectName.of("engines");
    private static final ObjectName VERSION = ObjectName.of("v1");
    private static final CacheScope SCOPE = scope("thies", "weights-1");
    private static final EngineIncarnation FIRST = engine("e1", 1);
    private static final EngineIncarnation SECOND = engine("e2", 1);
    private static final PrefixChain CHAIN = new PrefixChain(BlockHashes.of(1, 2, 3), 6_500);

    @Test
    public void aRequestGoesWhereItsPrefixIsCached() {
        for (EngineIncarnation holder : new EngineIncarnation[] {FIRST, SECOND}) {
            PlacementDecider decider = twoEngines();
            decider.apply(stored(holder, 1, SCOPE), 0);
            PlacementChoice choice = decider.choose(request(SCOPE), 1).orElseThrow();
            assertThat(choice.engine()).isEqualTo(holder);
            assertThat(choice.cachedTokens()).isEqualTo(6_000);
        }
    }

    @Test
    public void anEntryOfAnotherCustomerOrOfOlderWeightsIsNeverReliedOn() {
        PlacementDecider decider = twoEngines();
        decider.apply(stored(FIRST, 1, scope("kaolack", "weights-1")), 0);
        decider.apply(stored(SECOND, 1, scope("thies", "weights-0")), 0);
        assertThat(decider.choose(request(SCOPE), 1).orElseThrow().cachedTokens()).isZero();
    }

    @Test
    public void aRestartedEngineHasAnEmptyCacheAndItsOldEventsAreIgnored() {
        PlacementDecider decider = twoEngines();
        decider.apply(stored(FIRST, 1, SCOPE), 0);
        decider.apply(up(engine("e1", 2)), 1);
        assertThat(decider.knownBlocks()).isZero();
        decider.apply(stored(FIRST, 2, SCOPE), 2);
        decider.apply(new LoadReport(FIRST, 9, 9, 900_000, 2), 2);
        assertThat(decider.knownBlocks()).isZero();
        PlacementChoice choice = decider.choose(request(SCOPE), 3).orElseThrow();
        assertThat(choice.cachedTokens()).isZero();
        assertThat(choice.backlogTokens()).isZero();
    }

    @Test
    public void entriesBeforeAGapAreDoubtedUntilAnEventConfirmsThem() {
        PlacementDecider decider = twoEngines();
        decider.apply(stored(FIRST, 1, SCOPE), 0);
        decider.apply(stored(FIRST, 3, scope("kaolack", "weights-1")), 5_000);
        assertThat(decider.choose(request(SCOPE), 5_001).orElseThrow().cachedTokens()).isZero();
        decider.apply(stored(FIRST, 4, SCOPE), 6_000);
        assertThat(decider.choose(request(SCOPE), 6_001).orElseThrow().cachedTokens())
                .isEqualTo(6_000);
    }

    @Test
    public void aResponseOfItsOwnTellsARouterWhatAnEngineHolds() {
        PlacementDecider decider = twoEngines();
        decider.apply(new RequestSent("a1", SECOND, request(SCOPE)), 0);
        decider.apply(new FirstTokenReceived("a1"), 300);
        PlacementChoice choice = decider.choose(request(SCOPE), 301).orElseThrow();
        assertThat(choice.engine()).isEqualTo(SECOND);
        assertThat(choice.cachedTokens()).isEqualTo(6_000);
    }

    @Test
    public void ownRequestsCountUntilAReportIsNewerThanThey() {
        PlacementDecider decider = twoEngines();
        decider.apply(up(SECOND, Set.of()), 0);
        decider.apply(new RequestSent("a1", FIRST, request(SCOPE)), 100);
        decider.apply(new RequestSent("a2", FIRST, request(SCOPE)), 200);
        assertThat(backlog(decider, 201)).isEqualTo(13_000);
        decider.apply(new LoadReport(FIRST, 1, 0, 0, 150), 210);
        assertThat(backlog(decider, 211)).isEqualTo(6_500);
        decider.apply(new RequestFailed("a2"), 220);
        assertThat(backlog(decider, 221)).isZero();
    }

    @Test
    public void onlyWorkThatIsServedBeforeARequestCountsAsItsBacklog() {
        PlacementDecider decider = twoEngines();
        decider.apply(up(SECOND, Set.of()), 0);
        decider.apply(new RequestSent("late", FIRST, request(2)), 100);
        decider.apply(new RequestSent("soon", FIRST, request(0)), 100);
        assertThat(backlog(decider, request(0))).isEqualTo(6_500);
        assertThat(backlog(decider, request(1))).isEqualTo(6_500);
        assertThat(backlog(decider, request(2))).isEqualTo(13_000);
        decider.apply(new LoadReport(FIRST, 0, 4, 80_000, 101), 101);
        // In the moving average the later of two equal requests has weight 1, the earlier one 0.98.
        assertThat(backlog(decider, request(0))).isEqualTo(40_404);
        assertThat(backlog(decider, request(2))).isEqualTo(80_000);
    }

    @Test
    public void aLeavingExcludedOrUnfitEndpointIsNotChosen() {
        PlacementDecider decider = twoEngines();
        PlacementRequest request =
                new PlacementRequest(POOL, VERSION, SCOPE, CHAIN, 1, 100, Set.of(FIRST.endpoint()));
        assertThat(decider.choose(request, 1).orElseThrow().engine()).isEqualTo(SECOND);
        decider.apply(new EndpointRemoved(SECOND.endpoint()), 2);
        assertThat(decider.choose(request, 3)).isEmpty();
        decider.apply(up(SECOND, Set.of(ObjectName.of("v2"))), 4);
        assertThat(decider.choose(request, 5)).isEmpty();
    }

    @Test
    public void routersWithoutStateChooseAlike() {
        for (long block = 0; block < 50; block++) {
            PrefixChain chain = new PrefixChain(BlockHashes.of(block, 7, 8), 7_000);
            PlacementRequest request =
                    new PlacementRequest(POOL, VERSION, SCOPE, chain, 1, 100, Set.of());
            assertThat(twoEngines().choose(request, 1)).isEqualTo(twoEngines().choose(request, 9));
        }
    }

    private static long backlog(PlacementDecider decider, long nowMilliseconds) {
        return decider.choose(request(SCOPE), nowMilliseconds).orElseThrow().backlogTokens();
    }

    private static long backlog(PlacementDecider decider, PlacementRequest request) {
        return decider.choose(request, 101).orElseThrow().backlogTokens();
    }

    private static PlacementRequest request(int priority) {
        return new PlacementRequest(POOL, VERSION, SCOPE, CHAIN, priority, 100, Set.of());
    }

    private static PlacementDecider twoEngines() {
        PlacementParameters parameters = PlacementParameters.defaults();
        PlacementDecider decider =
                new PlacementDecider(parameters, new PrefixCostPolicy(parameters));
        decider.apply(up(FIRST), 0);
        decider.apply(up(SECOND), 0);
        return decider;
    }

    private static EndpointAdded up(EngineIncarnation engine) {
        return up(engine, Set.of(VERSION));
    }

    private static EndpointAdded up(EngineIncarnation engine, Set<ObjectName> versions) {
        return new EndpointAdded(engine, POOL, versions);
    }

    private static CacheEvent stored(EngineIncarnation engine, long sequence, CacheScope scope) {
        return new CacheEvent(
                engine, sequence, CacheEventKind.STORED, scope.text(), CHAIN.blocks());
    }

    private static PlacementRequest request(CacheScope scope) {
        return new PlacementRequest(POOL, VERSION, scope, CHAIN, 1, 100, Set.of());
    }

    private static EngineIncarnation engine(String endpoint, long number) {
        return new EngineIncarnation(ObjectName.of(endpoint), number);
    }

    private static CacheScope scope(String customer, String weights) {
        return CacheScope.of(ObjectName.of(customer), weights, "");
    }
}
