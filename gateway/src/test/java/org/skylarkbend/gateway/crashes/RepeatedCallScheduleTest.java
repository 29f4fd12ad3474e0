package org.skylarkbend.gateway.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.gateway.crashes.RepeatedCallSchedule.Kind;
import org.skylarkbend.gateway.crashes.RepeatedCallSchedule.Plan;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays calls of each kind that crash engines and that their callers repeat. */
public class RepeatedCallScheduleTest {
    private static final int RUNS = 60;

    /** Users allow three more sends from a time after the third crash under a call on. */
    private static final int MAX_LATE_SENDS = 3;

    /** One sound call in a hundred may be refused in doubt. */
    private static final double MAX_REFUSED_SHARE = 0.01;

    private static final List<Kind> KINDS =
            List.of(
                    Kind.RESUMABLE_STREAM,
                    Kind.STREAM_THAT_RUNS_ONCE,
                    Kind.CALL_THAT_RUNS_ONCE,
                    Kind.LOOKUP);

    @DataProvider
    public static Object[][] plans() {
        List<Object[]> plans = new ArrayList<>();
        for (Kind kind : KINDS) {
            plans.add(new Object[] {new Plan(kind, 1, false, false)});
            if (kind.maxAttempts() == 1 || !kind.hasPrompt()) {
                plans.add(new Object[] {new Plan(kind, 1, false, true)});
                plans.add(new Object[] {new Plan(kind, 2, false, false)});
                plans.add(new Object[] {new Plan(kind, 2, false, true)});
            }
        }
        plans.add(new Object[] {new Plan(Kind.STREAM_THAT_RUNS_ONCE, 2, true, true)});
        return plans.toArray(Object[][]::new);
    }

    @DataProvider
    public static Object[][] plansWithSeveralCauses() {
        return new Object[][] {
            {new Plan(Kind.RESUMABLE_STREAM, 1, false, true)},
            {new Plan(Kind.RESUMABLE_STREAM, 2, false, false)},
            {new Plan(Kind.RESUMABLE_STREAM, 2, false, true)},
            {new Plan(Kind.RESUMABLE_STREAM, 2, true, false)},
            {new Plan(Kind.RESUMABLE_STREAM, 2, true, true)},
            {new Plan(Kind.STREAM_THAT_RUNS_ONCE, 2, true, false)},
        };
    }

    /**
     * Guards against calls of any kind that crash engine after engine as their callers repeat them,
     * also two at once, and also if the leader of control is lost after the second crash.
     */
    @Test(dataProvider = "plans")
    public void aRepeatedCallIsKeptAwayFromEnginesAndSoundCallsAreServed(Plan plan) {
        SeededRuns.forEachSeed(1, RUNS, seed -> assertContained(seed, plan));
    }

    /**
     * Guards against evidence that is lost with the leader or explained by a sound call, and
     * against the topic that two such calls share being refused in their place.
     */
    @Test(dataProvider = "plansWithSeveralCauses")
    public void twoRepeatedStreamsAndALostLeaderAreNoWorse(Plan plan) {
        SeededRuns.forEachSeed(1, RUNS, seed -> assertContained(seed, plan));
    }

    private static void assertContained(long seed, Plan plan) {
        RepeatedCallSchedule site = new RepeatedCallSchedule(seed, plan);
        site.run();
        assertThat(site.lateSends())
                .as("late sends of %s; %d crashes", plan, site.crashes())
                .isLessThanOrEqualTo(MAX_LATE_SENDS);
        assertThat(site.soundRefused())
                .as("refused of %d sound calls of %s", site.soundCalls(), plan)
                .isLessThanOrEqualTo((int) (MAX_REFUSED_SHARE * site.soundCalls()));
    }
}
