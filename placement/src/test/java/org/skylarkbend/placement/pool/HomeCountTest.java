package org.skylarkbend.placement.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the number of engines that keep the shared parts of prompts. */
public class HomeCountTest {
    private static final int ENGINES = 42;
    private static final long MEMORY_TOKENS = 126_000;
    private static final long SHARED_TOKENS = 6_300;
    private static final long HOT = -1;
    private static final int PARTS = 2_500;

    /** Time between two prompts at one of 91 routers. */
    private static final long INTERVAL_MILLISECONDS = 500;

    private final Random mRandom = new Random(1);
    private long mNowMilliseconds;

    @Test
    public void partsThatAreAskedForAlikeHaveOneHomeEach() {
        HomeCount homes = new HomeCount();
        for (int i = 0; i < 500; i++) {
            assertThat(next(homes, 0)).isEqualTo(1);
        }
    }

    /** The load: one of many parts suddenly gets a third of the prompts. */
    @Test
    public void aPartThatGetsAThirdOfTheTokensHasSeveralHomesAndOneAgainAfterwards() {
        HomeCount homes = new HomeCount();
        for (int i = 0; i < 100; i++) {
            next(homes, 0);
        }
        for (int i = 0; i < 100; i++) {
            next(homes, 0.33);
        }
        assertThat(ask(homes, HOT)).isBetween(2, ENGINES / 3);
        for (int i = 0; i < 100; i++) {
            next(homes, 0);
        }
        assertThat(ask(homes, HOT)).isEqualTo(1);
    }

    private int next(HomeCount homes, double hotShare) {
        mNowMilliseconds += INTERVAL_MILLISECONDS;
        return ask(homes, mRandom.nextDouble() < hotShare ? HOT : mRandom.nextInt(PARTS));
    }

    private int ask(HomeCount homes, long key) {
        return homes.of(key, SHARED_TOKENS, ENGINES, MEMORY_TOKENS, mNowMilliseconds);
    }
}
