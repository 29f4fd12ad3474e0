package org.skylarkbend.placement.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests when calls leave their data centre, and how many of them. */
public class CrossingTimesTest {
    private static final double NEAR_MILLISECONDS = 1;
    private static final double FAR_MILLISECONDS = 10;
    private static final double TOKENS_PER_MILLISECOND = 100;
    private static final int OWN_ENGINES = 10;
    private static final int ENGINES = 30;

    @Test
    public void aDistanceThatIsNotKnownYetCostsNothing() {
        CrossingTimes times = new CrossingTimes("own");
        times.connected("own", NEAR_MILLISECONDS);
        times.connected("other", FAR_MILLISECONDS);
        assertThat(times.extraMilliseconds("other")).isZero();
    }

    @Test
    public void aCallThatLeavesPaysTheWayOfItsConnectionAndOfItsRequest() {
        assertThat(learned().extraMilliseconds("other"))
                .isCloseTo(2 * (FAR_MILLISECONDS - NEAR_MILLISECONDS), within(0.1));
        assertThat(learned().extraMilliseconds("own")).isZero();
    }

    /** Guards against failures that are taken for a distance. */
    @Test
    public void connectionsThatHangDoNotMakeADataCentreUnreachable() {
        CrossingTimes times = learned();
        times.connected("other", 60_000);
        assertThat(times.extraMilliseconds("other")).isLessThan(4 * FAR_MILLISECONDS);
    }

    /** The load: the engines of one data centre get busier while those of the others idle. */
    @Test
    public void noCallLeavesWhileItsDataCentreHasRoomAndMoreLeaveTheLessRoomThereIs() {
        assertThat(shareThatLeaves(0)).isLessThan(0.05);
        assertThat(shareThatLeaves(1_000)).isLessThan(0.05);
        assertThat(shareThatLeaves(4_000)).isBetween(0.6, 1.0);
    }

    private static double shareThatLeaves(double tokensAheadInOwn) {
        CrossingTimes times = learned();
        SampledChoice choice = new SampledChoice(new Random(4)::nextDouble);
        List<Integer> engines = IntStream.range(0, ENGINES).boxed().toList();
        int own = 0;
        int calls = 2_000;
        for (int i = 0; i < calls; i++) {
            int home = i % OWN_ENGINES;
            int chosen =
                    choice.of(
                                    engines,
                                    engine -> engine == home,
                                    engine -> costOf(engine, tokensAheadInOwn, times),
                                    1e9)
                            .orElseThrow();
            own += chosen < OWN_ENGINES ? 1 : 0;
        }
        return 1 - (double) own / calls;
    }

    private static double costOf(int engine, double tokensAheadInOwn, CrossingTimes times) {
        return engine < OWN_ENGINES
                ? tokensAheadInOwn
                : times.extraMilliseconds("other") * TOKENS_PER_MILLISECOND;
    }

    private static CrossingTimes learned() {
        CrossingTimes times = new CrossingTimes("own");
        for (int i = 0; i < 20; i++) {
            times.connected("own", NEAR_MILLISECONDS);
            times.connected("other", FAR_MILLISECONDS);
        }
        return times;
    }
}
