package org.skylarkbend.agreement;

import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replaces the members of a group one after another, under losses that it has to tolerate. */
public class MemberReplacementTest {
    private static final long FIRST_SEED = 1;
    private static final int SIMULATIONS = 200;
    private static final int SIMULATIONS_OF_OTHER_SIZES = 40;

    /** Guards against members that are gone for good, still count, and cost the quorum. */
    @Test
    public void aGroupWhoseMembersAreReplacedInARowAlwaysFindsALeaderAgain() {
        replaceInARow(SIMULATIONS, 2, false);
    }

    /** Guards against a VM that was stopped as planned and is still waited for. */
    @Test
    public void aMemberThatTellsBeforeItStopsIsNoLossOnceItsSuccessorHasRunForLong() {
        replaceInARow(SIMULATIONS, 2, true);
    }

    /** Guards against a rule that holds for groups of five only. */
    @Test(dataProvider = "otherSizes")
    public void aGroupOfAnotherSizeAlwaysFindsALeaderAgain(
            int toleratedLosses, boolean stopsWithNotice) {
        replaceInARow(SIMULATIONS_OF_OTHER_SIZES, toleratedLosses, stopsWithNotice);
    }

    /** Guards against members that are gone and count, where losses count by data centre. */
    @Test
    public void aGroupThatIsGivenNoNumberOfLossesAlwaysFindsALeaderAgain() {
        replaceWithUnknownLosses(3, false);
    }

    /** Guards against five voters of which two are successors, and two have said that they end. */
    @Test
    public void aGroupThatIsGivenNoNumberOfLossesDoesNotCountMembersThatStoppedWithNotice() {
        replaceWithUnknownLosses(3, true);
    }

    /** Guards against members that are gone and count anew with each leader. */
    @Test
    public void aGroupOfFiveThatIsGivenNoNumberOfLossesAlwaysFindsALeaderAgain() {
        replaceWithUnknownLosses(5, false);
    }

    @DataProvider
    private Object[][] otherSizes() {
        return new Object[][] {{1, false}, {1, true}, {3, false}, {3, true}};
    }

    private static void replaceWithUnknownLosses(int vms, boolean stopsWithNotice) {
        SeededRuns.forEachSeed(
                FIRST_SEED,
                SIMULATIONS_OF_OTHER_SIZES,
                seed ->
                        new MemberReplacements(
                                        ClusterSimulation.joiningMembers(seed, vms, 0),
                                        stopsWithNotice)
                                .run());
    }

    private static void replaceInARow(
            int simulations, int toleratedLosses, boolean stopsWithNotice) {
        SeededRuns.forEachSeed(
                FIRST_SEED,
                simulations,
                seed ->
                        new MemberReplacements(
                                        ClusterSimulation.joiningMembers(
                                                seed, 2 * toleratedLosses + 1, toleratedLosses),
                                        stopsWithNotice)
                                .run());
    }
}
