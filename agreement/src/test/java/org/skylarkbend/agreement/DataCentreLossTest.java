package org.skylarkbend.agreement;

import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Loses data centres in groups whose settings name no number of losses. */
public class DataCentreLossTest {
    private static final long FIRST_SEED = 1;
    private static final int SIMULATIONS = 40;

    /** Guards against voters that were removed while away, and a group that forgets its size. */
    @Test(dataProvider = "sizes")
    public void aGroupThatLosesOneDataCentreAfterAnotherAlwaysFindsALeaderAgain(int[] sizes) {
        SeededRuns.forEachSeed(
                FIRST_SEED, SIMULATIONS, seed -> new DataCentreLosses(seed, sizes).run());
    }

    /** Guards against a data centre that has most of the voters. */
    @Test
    public void aGroupOfMoreVmsThanVotersBearsTheLossOfOneDataCentre() {
        SeededRuns.forEachSeed(
                FIRST_SEED, SIMULATIONS, seed -> new DataCentreLosses(seed, 4, 4, 4).run());
    }

    @DataProvider
    private Object[][] sizes() {
        return new Object[][] {{new int[] {1, 1, 1}}, {new int[] {2, 2, 1}}, {new int[] {3, 2, 2}}};
    }
}
