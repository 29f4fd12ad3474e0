package org.skylarkbend.orders.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsEffect.RequestReport;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.orders.weights.WeightsMessage.CommandLost;
import org.skylarkbend.orders.weights.WeightsMessage.CommandTaken;
import org.skylarkbend.orders.weights.WeightsMessage.Engine;
import org.skylarkbend.orders.weights.WeightsMessage.EnginesListed;
import org.skylarkbend.orders.weights.WeightsMessage.OrderCompleted;
import org.skylarkbend.orders.weights.WeightsMessage.Reported;
import org.skylarkbend.orders.weights.WeightsMessage.TargetVersionsChanged;
import org.skylarkbend.orders.weights.WeightsMessage.Tick;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which engine is ordered to load which weights, and when. */
public class WeightsDeciderTest {
    private static final long TAKEOVER_MILLISECONDS = 3_000;

    private static final long OLD_WEIGHTS_MILLISECONDS = 60_000;

    private WeightsDecider mDecider;
    private long mNowMilliseconds;

    @BeforeMethod
    public void commandEightEngines() {
        mNowMilliseconds = 0;
        mDecider = new WeightsDecider(TAKEOVER_MILLISECONDS, OLD_WEIGHTS_MILLISECONDS);
        decide(new EnginesListed(IntStream.range(0, 8).mapToObj(i -> engine("e" + i, 1)).toList()));
        decide(new CommandTaken(7));
        mNowMilliseconds = TAKEOVER_MILLISECONDS;
    }

    @Test
    public void aNewCommanderLeavesOnlyThoseEnginesAloneThatItsPredecessorMayHaveOrdered() {
        decide(new CommandLost());
        decide(new Announced("e0", 8));
        mNowMilliseconds += 300;
        decide(new CommandTaken(9));
        assertThat(requested(decide(new TargetVersionsChanged(Map.of("m", 2L)))))
                .containsExactly("e1", "e2");
        assertThat(mDecider.mayOrder("e0", mNowMilliseconds)).isFalse();
        mNowMilliseconds += TAKEOVER_MILLISECONDS - 300;
        assertThat(mDecider.mayOrder("e0", mNowMilliseconds)).isTrue();
    }

    @Test
    public void aCommandersOwnAnnouncementsDoNotHoldItBack() {
        decide(new Announced("e0", 7));
        assertThat(mDecider.mayOrder("e0", mNowMilliseconds)).isTrue();
    }

    @Test
    public void twoOfEightEnginesLoadAtOnceAndAnOrderNamesHowManyCameBefore() {
        assertThat(requested(decide(new TargetVersionsChanged(Map.of("m", 2L)))))
                .containsExactly("e0", "e1");
        List<WeightsEffect> effects = decide(new Reported("e1", Map.of("m", 1L), false, 4, 0));
        assertThat(effects).contains(new Load("e1", "m", 2, 7, 4));
    }

    @Test
    public void anEngineThatIsBusyIsAskedAgainAndNotOrderedAgain() {
        order("e0");
        decide(new OrderCompleted("e0", LoadAnswer.ACCEPTED));
        mNowMilliseconds += WeightsDecider.FIRST_POLL_MILLISECONDS;
        assertThat(requested(decide(new Tick()))).contains("e0");
        assertThat(loads(decide(new Reported("e0", Map.of("m", 1L), true, 1, 0)))).isEmpty();
        mNowMilliseconds += WeightsDecider.POLL_INTERVAL_MILLISECONDS;
        assertThat(requested(decide(new Tick()))).contains("e0");
    }

    @Test
    public void anotherEngineFollowsWhenOneIsDone() {
        order("e0");
        decide(new OrderCompleted("e0", LoadAnswer.ACCEPTED));
        mNowMilliseconds += WeightsDecider.FIRST_POLL_MILLISECONDS;
        decide(new Tick());
        assertThat(requested(decide(new Reported("e0", Map.of("m", 2L), false, 1, 0))))
                .contains("e2");
        assertThat(mDecider.weightsOf("e0")).containsEntry("m", 2L);
        assertThat(mDecider.loading()).doesNotContain("e0");
    }

    @Test
    public void afterAnOrderWithoutResponseTheEngineIsPolledBeforeItIsOrderedAgain() {
        order("e0");
        assertThat(loads(decide(new OrderCompleted("e0", LoadAnswer.UNKNOWN)))).isEmpty();
        mNowMilliseconds += WeightsDecider.POLL_INTERVAL_MILLISECONDS;
        assertThat(requested(decide(new Tick()))).contains("e0");
        assertThat(loads(decide(new Reported("e0", Map.of("m", 1L), false, 0, 0))))
                .containsExactly(new Load("e0", "m", 2, 7, 0));
    }

    @Test
    public void enginesThatDoNotRespondMakeRoomForOthers() {
        assertThat(requested(decide(new TargetVersionsChanged(Map.of("m", 2L)))))
                .containsExactly("e0", "e1");
        decide(new WeightsMessage.ReportFailed("e0", 0));
        assertThat(mDecider.loading()).containsExactlyInAnyOrder("e1", "e2");
        decide(new WeightsMessage.ReportFailed("e1", 0));
        assertThat(mDecider.loading()).containsExactlyInAnyOrder("e2", "e3");
    }

    /** Guards against places for loads that engines keep which refuse every order. */
    @Test
    public void anEngineThatRefusesItsOrderMakesRoomForOthersAndIsTriedAgainLater() {
        order("e0");
        decide(new OrderCompleted("e0", LoadAnswer.REFUSED));
        assertThat(mDecider.loading()).containsExactlyInAnyOrder("e1", "e2");
        mNowMilliseconds += WeightsDecider.MIN_UNREACHABLE_RETRY_MILLISECONDS;
        assertThat(requested(decide(new Tick()))).contains("e0");
    }

    @Test
    public void anEngineThatDidNotRespondTakesNoPlaceFromOthersUntilItDoes() {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        decide(new WeightsMessage.ReportFailed("e0", 0));
        assertThat(mDecider.loading()).containsExactlyInAnyOrder("e1", "e2");
        mNowMilliseconds += WeightsDecider.MIN_UNREACHABLE_RETRY_MILLISECONDS;
        assertThat(requested(decide(new Tick()))).contains("e0");
        assertThat(mDecider.loading()).containsExactlyInAnyOrder("e1", "e2");
        decide(new Reported("e0", Map.of("m", 1L), false, 0, 0));
        assertThat(mDecider.loading()).containsExactlyInAnyOrder("e1", "e2");
    }

    /** Guards against reports that are requested from an engine that has asked for none. */
    @Test
    public void anEngineThatAskedForNoRequestsGetsNoneUntilTheTimeIsOver() {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        decide(new WeightsMessage.ReportFailed("e0", 10_000));
        for (long untilMilliseconds = mNowMilliseconds + 9_900;
                mNowMilliseconds < untilMilliseconds;
                mNowMilliseconds += 100) {
            assertThat(requested(decide(new Tick()))).doesNotContain("e0");
        }
        mNowMilliseconds += 100;
        assertThat(requested(decide(new Tick()))).contains("e0");
    }

    @Test
    public void anEngineIsOrderedWhenItsQueueIsEmptyOrHadItsTime() {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        assertThat(loads(decide(new Reported("e0", Map.of("m", 1L), false, 0, 3)))).isEmpty();
        mNowMilliseconds += WeightsDecider.POLL_INTERVAL_MILLISECONDS;
        assertThat(requested(decide(new Tick()))).contains("e0");
        assertThat(loads(decide(new Reported("e0", Map.of("m", 1L), false, 0, 0)))).hasSize(1);
        assertThat(loads(decide(new Reported("e1", Map.of("m", 1L), false, 0, 3)))).isEmpty();
        mNowMilliseconds += WeightsDecider.MAX_QUEUE_DRAIN_MILLISECONDS;
        decide(new Tick());
        assertThat(loads(decide(new Reported("e1", Map.of("m", 1L), false, 0, 3)))).hasSize(1);
    }

    @Test
    public void enginesWhoseWeightsExpireSoonLoadBeyondTheUsualNumber() {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        assertThat(mDecider.loading()).hasSize(2);
        mNowMilliseconds += OLD_WEIGHTS_MILLISECONDS * 3 / 4;
        decide(new Tick());
        assertThat(mDecider.loading()).hasSize(4);
    }

    @Test
    public void enginesWhoseWeightsHaveExpiredLoadAtOnceAlthoughOthersAreLoading() {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        mNowMilliseconds += OLD_WEIGHTS_MILLISECONDS;
        decide(new Tick());
        assertThat(mDecider.loading()).hasSize(8);
    }

    @Test
    public void theAgeOfWeightsCountsFromTheFirstNewerVersion() {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        mNowMilliseconds += OLD_WEIGHTS_MILLISECONDS / 2;
        decide(new TargetVersionsChanged(Map.of("m", 3L)));
        mNowMilliseconds += OLD_WEIGHTS_MILLISECONDS / 2;
        decide(new Tick());
        assertThat(mDecider.loading()).hasSize(8);
    }

    @Test
    public void aCommanderWhoseNumberIsTooLowOrdersNoMore() {
        order("e0");
        decide(new OrderCompleted("e0", LoadAnswer.FENCED));
        mNowMilliseconds += 10_000;
        assertThat(decide(new Tick())).isEmpty();
    }

    @Test
    public void theMostOutdatedEngineGoesFirst() {
        List<Engine> engines = new ArrayList<>(List.of(engine("a", 2), engine("b", 2)));
        engines.add(engine("z", 1));
        decide(new EnginesListed(engines));
        assertThat(requested(decide(new TargetVersionsChanged(Map.of("m", 3L)))))
                .containsExactly("a", "z");
    }

    @Test
    public void anEngineThatIsListedNoMoreIsForgotten() {
        order("e0");
        decide(new EnginesListed(List.of(engine("e5", 1))));
        assertThat(mDecider.loading()).containsExactly("e5");
    }

    private void order(String engine) {
        decide(new TargetVersionsChanged(Map.of("m", 2L)));
        assertThat(loads(decide(new Reported(engine, Map.of("m", 1L), false, 0, 0)))).hasSize(1);
    }

    private List<WeightsEffect> decide(WeightsMessage message) {
        return mDecider.decide(message, mNowMilliseconds);
    }

    private static Engine engine(String name, long version) {
        return new Engine(name, Map.of("m", version));
    }

    private static List<String> requested(List<WeightsEffect> effects) {
        return effects.stream()
                .filter(RequestReport.class::isInstance)
                .map(effect -> ((RequestReport) effect).engine())
                .toList();
    }

    private static List<WeightsEffect> loads(List<WeightsEffect> effects) {
        return effects.stream().filter(Load.class::isInstance).toList();
    }
}
