package org.skylarkbend.testing.fuzz;

import java.util.Base64;
import java.util.SplittableRandom;
import org.skylarkbend.testing.ByteMutations;
import org.skylarkbend.testing.SeededRuns;

/**
 * The bounded run of the build: mutates the samples of a target at random. The seed of a failure is
 * part of its message and plays the same input again.
 */
public final class SeededFuzzing {
    /** Time after which a run is taken for endless; it takes about a second. */
    public static final long HANG_MILLISECONDS = 300_000;

    private static final String FIRST_SEED_PROPERTY = "skylarkbend.fuzz.first";
    private static final String RUNS_PROPERTY = "skylarkbend.fuzz.runs";

    private SeededFuzzing() {}

    /** Returns the targets as arguments for a test method. */
    public static Object[][] argumentsOf(FuzzTargets targets) {
        return targets.targets().stream()
                .map(target -> new Object[] {target})
                .toArray(Object[][]::new);
    }

    /** Gives the samples, which must be accepted, and then mutated samples to the decoder. */
    public static void run(FuzzTarget target) {
        for (int i = 0; i < target.samples().size(); i++) {
            if (!accepts(target, target.samples().get(i))) {
                throw new AssertionError(target.name() + " refuses its sample " + i);
            }
        }
        SeededRuns.forEachSeed(
                Long.getLong(FIRST_SEED_PROPERTY, 1),
                Integer.getInteger(RUNS_PROPERTY, target.runs()),
                seed -> accepts(target, inputOf(target, new SplittableRandom(seed))));
    }

    private static byte[] inputOf(FuzzTarget target, SplittableRandom random) {
        byte[] sample = target.samples().get(random.nextInt(target.samples().size()));
        return ByteMutations.mutate(sample, random);
    }

    /** Decodes an input; whatever is thrown names the target and the input. */
    static boolean accepts(FuzzTarget target, byte[] input) {
        try {
            return AllocationLimit.check(target.check(), input);
        } catch (Exception | AssertionError | StackOverflowError | OutOfMemoryError e) {
            String base64 = Base64.getEncoder().encodeToString(input);
            throw new AssertionError(target.name() + " with input " + base64 + ": " + e, e);
        }
    }
}
