package org.skylarkbend.replay.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.CacheScope;

/** Prefix cache of an engine model with least-recently-used eviction. */
final class BlockCache {
    private final int mMaxBlocks;
    private final LinkedHashSet<ScopedBlock> mBlocks = new LinkedHashSet<>();

    BlockCache(int maxBlocks) {
        mMaxBlocks = maxBlocks;
    }

    int count() {
        return mBlocks.size();
    }

    boolean holds(ScopedBlock block) {
        return mBlocks.contains(block);
    }

    /** Returns the number of leading blocks of the prompt that are cached. */
    int matchPrefix(CacheScope scope, BlockHashes blocks) {
        int matched = 0;
        while (matched < blocks.count()
                && mBlocks.contains(new ScopedBlock(scope, blocks.get(matched)))) {
            matched++;
        }
        return matched;
    }

    /**
     * Marks the first {@code count} blocks as used, last block first so that the first block of the
     * prompt is evicted last. Returns the blocks that were not cached before.
     */
    List<ScopedBlock> touch(CacheScope scope, BlockHashes blocks, int count) {
        List<ScopedBlock> stored = new ArrayList<>();
        for (int i = count - 1; i >= 0; i--) {
            ScopedBlock block = new ScopedBlock(scope, blocks.get(i));
            if (!mBlocks.remove(block)) {
                stored.add(block);
            }
            mBlocks.add(block);
        }
        return stored;
    }

    /** Evicts blocks until the cache is within its capacity, and returns them. */
    List<ScopedBlock> evict() {
        List<ScopedBlock> evicted = new ArrayList<>();
        Iterator<ScopedBlock> oldest = mBlocks.iterator();
        while (mBlocks.size() > mMaxBlocks) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }

    /** A block hash together with its cache scope. */
    record ScopedBlock(CacheScope scope, long hash) {}
}
