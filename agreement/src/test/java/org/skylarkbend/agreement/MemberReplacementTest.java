package org.skylarkbend.agreement;

import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Replaces the members of a group one after another, under losses that it has to tolerate. */
public class MemberReplacementTest {
    private static final long FIRST_SEED = 1;
    private static final int SIMULATIONS = 300;

    /** Guards against members that are gone for good, still count, and cost the quorum. */
    @Test
    public void aGroupWhoseMembersAreReplacedInARowAlwaysFindsALeaderAgain() {
        SeededRuns.forEachSeed(FIRST_SEED, SIMULATIONS, seed -> new MemberReplacements(seed).run());
    }
}
