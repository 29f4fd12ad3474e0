package org.skylarkbend.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Compares the index with a plain set of pairs, and tests eviction and matching. */
public class PrefixIndexTest {
    private static final int SLOTS = 7;
    private static final int KEYS = 60;

    @Test
    public void itHoldsWhatASetOfPairsHolds() {
        SeededRuns.forEachSeed(1, 200, PrefixIndexTest::compareWithASet);
    }

    @Test
    public void aFullTableForgetsOldEntriesAndNeverGrowsBeyondItsBound() {
        PrefixIndex index = new PrefixIndex(1_000);
        for (int i = 0; i < 100_000; i++) {
            index.put(PrefixIndex.keyOf(1, i), i % SLOTS, i);
        }
        assertThat(index.count()).isEqualTo(1_000);
        assertThat(index.memoryBytes()).isLessThan(1_000 * 24);
        int recent = 0;
        for (int i = 99_000; i < 100_000; i++) {
            recent += index.contains(PrefixIndex.keyOf(1, i), i % SLOTS) ? 1 : 0;
        }
        assertThat(recent).isGreaterThan(600);
    }

    @Test
    public void aMatchEndsAtTheFirstMissingBlockOfEachSlot() {
        PrefixIndex index = new PrefixIndex(100);
        BlockHashes blocks = BlockHashes.of(11, 12, 13);
        for (int i = 0; i < 3; i++) {
            index.put(PrefixIndex.keyOf(5, blocks.get(i)), 0, 10);
        }
        index.put(PrefixIndex.keyOf(5, 11), 1, 10);
        index.put(PrefixIndex.keyOf(5, 13), 1, 10);
        index.put(PrefixIndex.keyOf(5, 11), 2, 9);
        int[] depths = new int[3];
        index.match(5, blocks, new int[] {10, 10, 10}, depths);
        assertThat(depths).containsExactly(3, 1, 0);
    }

    private static void compareWithASet(long seed) {
        Random random = new Random(seed);
        PrefixIndex index = new PrefixIndex(Integer.MAX_VALUE);
        Set<Long> pairs = new HashSet<>();
        for (int step = 0; step < 1_000; step++) {
            int key = random.nextInt(KEYS);
            int slot = random.nextInt(SLOTS);
            long hash = PrefixIndex.keyOf(seed, key);
            int action = random.nextInt(100);
            if (action < 60) {
                index.put(hash, slot, step);
                pairs.add((long) key * SLOTS + slot);
            } else if (action < 98) {
                index.remove(hash, slot);
                pairs.remove((long) key * SLOTS + slot);
            } else {
                index.removeSlot(slot);
                pairs.removeIf(pair -> pair % SLOTS == slot);
            }
        }
        assertThat(index.count()).isEqualTo(pairs.size());
        for (long pair = 0; pair < (long) KEYS * SLOTS; pair++) {
            long hash = PrefixIndex.keyOf(seed, pair / SLOTS);
            assertThat(index.contains(hash, (int) (pair % SLOTS))).isEqualTo(pairs.contains(pair));
        }
    }
}
