package org.skylarkbend.placement;

import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;

/**
 * Measures the memory of a decider by its number of endpoints and known blocks, and the time to
 * hash a prompt by its number of blocks.
 *
 * <p>This is a measurement, not a test; {@code docs/CAPACITY.md} has the command that runs it.
 */
public final class PlacementDeciderBenchmark {
    private static final int[] ENDPOINTS = {8, 64, 600};
    private static final int[] KNOWN_BLOCKS = {0, 10_000, 100_000, 1_000_000};
    private static final int[] PROMPT_BLOCKS = {1, 16, 64};
    private static final int PROMPTS = 300;
    private static final int ROUNDS = 3;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private PlacementDeciderBenchmark() {}

    /** Prints one line for each size. */
    public static void main(String[] args) {
        for (int endpoints : ENDPOINTS) {
            memory(endpoints, 0);
        }
        for (int blocks : KNOWN_BLOCKS) {
            memory(600, blocks);
        }
        for (int blocks : PROMPT_BLOCKS) {
            hashing(blocks);
        }
    }

    private static void memory(int endpoints, int blocks) {
        long before = usedBytes();
        PlacementDecider decider = decider(endpoints, blocks);
        long held = usedBytes() - before;
        System.out.printf(
                "decider of %d endpoints and %d blocks: %d bytes, index %d bytes%n",
                endpoints, decider.knownBlocks(), held, decider.indexMemoryBytes());
    }

    private static PlacementDecider decider(int endpoints, int blocks) {
        PlacementParameters parameters = PlacementParameters.defaults();
        PlacementDecider decider =
                new PlacementDecider(parameters, new PrefixCostPolicy(parameters));
        for (int i = 0; i < endpoints; i++) {
            ObjectName version = ObjectName.of("v1");
            decider.apply(new EndpointAdded(engine(i), ObjectName.of("p"), Set.of(version)), 0);
        }
        for (int i = 0; i < blocks; i++) {
            BlockHashes hash = BlockHashes.of(i);
            int sequence = i / endpoints;
            CacheEventKind kind = CacheEventKind.STORED;
            decider.apply(new CacheEvent(engine(i % endpoints), sequence, kind, "c/1", hash), 0);
        }
        return decider;
    }

    private static void hashing(int blocks) {
        String text = "x".repeat(blocks * PrefixChain.BLOCK_CHARS);
        double microseconds = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long begin = System.nanoTime();
            int hashed = 0;
            for (int i = 0; i < PROMPTS; i++) {
                hashed += PrefixChain.ofText(text).blocks().count();
            }
            microseconds = (System.nanoTime() - begin) / NANOSECONDS_PER_MICROSECOND / PROMPTS;
            if (hashed != PROMPTS * blocks) {
                throw new IllegalStateException("not all blocks were hashed");
            }
        }
        System.out.printf(
                "chain of %d blocks: %.1f us, %.2f us a block%n",
                blocks, microseconds, microseconds / blocks);
    }

    private static EngineIncarnation engine(int number) {
        return new EngineIncarnation(ObjectName.of("engine-" + number), 1);
    }

    private static long usedBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
