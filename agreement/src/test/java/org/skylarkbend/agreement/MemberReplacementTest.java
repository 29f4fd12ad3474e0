package org.skylarkbend.agreement;

import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Replaces the members of a group one after another, under losses that it has to tolerate. */
public class MemberReplacementTest {
    private static final long FIRST_SEED = 1;
    private static final int SIMULATIONS = 200;

    /** Guards against members that are gone for good, still count, and cost the quorum. */
    @Test
    public void aGroupWhoseMembersAreReplacedInARowAlwaysFindsALeaderAgain() {
        SeededRuns.forEachSeed(
                FIRST_SEED, SIMULATIONS, seed -> new MemberReplacements(seed, false).run());
    }

    /** Guards against a VM that was stopped as planned and is still waited for. */
    @Test
    public void aMemberThatTellsBeforeItStopsIsNoLossOnceItsSuccessorHasRunForLong() {
        SeededRuns.forEachSeed(
                FIRST_SEED, SIMULATIONS, seed -> new MemberReplacements(seed, true).run());
    }
}
