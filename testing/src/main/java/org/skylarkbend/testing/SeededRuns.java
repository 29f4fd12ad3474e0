package org.skylarkbend.testing;

import java.util.function.LongConsumer;

/** Runs a check for a range of seeds and reports the first seed that fails. */
public final class SeededRuns {
    /** The system property that multiplies the number of runs; 1 by default. */
    public static final String FACTOR_PROPERTY = "skylarkbend.runs.factor";

    private SeededRuns() {}

    /**
     * Runs the check with consecutive seeds.
     *
     * @param firstSeed the first seed
     * @param runs the number of seeds, multiplied by {@link #FACTOR_PROPERTY}
     * @param check the check to run with each seed
     */
    public static void forEachSeed(long firstSeed, int runs, LongConsumer check) {
        long count = (long) runs * Integer.getInteger(FACTOR_PROPERTY, 1);
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            try {
                check.accept(seed);
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }
}
