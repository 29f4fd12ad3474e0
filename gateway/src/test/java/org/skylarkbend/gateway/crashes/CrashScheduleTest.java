package org.skylarkbend.gateway.crashes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.skylarkbend.gateway.crashes.CrashSchedule.Trouble;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Plays crashes of engines at sites of different sizes, with calls that cause them and without. */
public class CrashScheduleTest {
    private static final int RUNS = 150;

    /** Users allow three more calls from this time after the fifth crash on. */
    private static final long STABLE_MILLISECONDS = 3_000;

    private static final int MAX_DEADLY_CALLS = 3;

    /** One sound call in a hundred may be refused in doubt. */
    private static final double MAX_REFUSED_SHARE = 0.01;

    /** Guards against one part of prompts that crashes engine after engine of a site. */
    @Test
    public void aDeadlyPartIsKeptAwayFromEnginesAndSoundCallsAreServed() {
        SeededRuns.forEachSeed(
                1,
                RUNS,
                seed -> {
                    CrashSchedule site = played(seed, Trouble.DEADLY_PART, true);
                    assertContained(site);
                    assertFewRefused(site);
                });
    }

    @Test
    public void withoutQuarantineTheSameSchedulesAreNotContained() {
        assertThatThrownBy(
                        () ->
                                SeededRuns.forEachSeed(
                                        1,
                                        RUNS,
                                        seed ->
                                                assertContained(
                                                        played(seed, Trouble.DEADLY_PART, false))))
                .isInstanceOf(AssertionError.class);
    }

    /** Guards against sound prompts being blamed for crashes that they did not cause. */
    @Test
    public void crashesOfSingleEnginesLeadToFewRefusals() {
        SeededRuns.forEachSeed(
                1, RUNS, seed -> assertFewRefused(played(seed, Trouble.SINGLE_CRASHES, true)));
    }

    /** Guards against sound prompts being blamed when a rack or a data centre fails. */
    @Test
    public void crashesOfManyEnginesAtOnceLeadToFewRefusals() {
        SeededRuns.forEachSeed(
                1, RUNS, seed -> assertFewRefused(played(seed, Trouble.WAVES, true)));
    }

    private static CrashSchedule played(long seed, Trouble trouble, boolean guarded) {
        CrashSchedule site = new CrashSchedule(seed, trouble, guarded);
        site.run();
        return site;
    }

    private static void assertContained(CrashSchedule site) {
        assertThat(site.deadlyCallsAfterFifthCrash(STABLE_MILLISECONDS))
                .as("deadly calls late after the fifth of %d crashes", site.crashes())
                .isLessThanOrEqualTo(MAX_DEADLY_CALLS);
    }

    private static void assertFewRefused(CrashSchedule site) {
        assertThat(site.soundRefused())
                .as("refused of %d sound calls", site.soundCalls())
                .isLessThanOrEqualTo((int) (MAX_REFUSED_SHARE * site.soundCalls()));
    }
}
