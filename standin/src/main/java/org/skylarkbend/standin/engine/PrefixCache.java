package org.skylarkbend.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A cache of prompt blocks with a limited capacity and least-recently-used eviction.
 *
 * <p>A use refreshes a chain from its last block to its first, so that a block is never evicted
 * before the blocks that follow it in the chain.
 */
final class PrefixCache {
    /**
     * The key of a block: its hash, its cache scope and the version of the weights that computed
     * it.
     */
    record BlockKey(String scope, String version, long hash) {}

    private final int mMaxBlocks;
    private final Map<BlockKey, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int maxBlocks) {
        mMaxBlocks = maxBlocks;
    }

    /** Returns the number of leading blocks of a chain that are cached. */
    int match(String scope, String version, List<Long> hashes) {
        int matched = 0;
        while (matched < hashes.size()
                && mBlocks.containsKey(new BlockKey(scope, version, hashes.get(matched)))) {
            matched++;
        }
        return matched;
    }

    /** Stores a chain and returns the blocks that were not cached before. */
    List<Long> store(String scope, String version, List<Long> hashes) {
        List<Long> added = new ArrayList<>();
        for (int i = hashes.size() - 1; i >= 0; i--) {
            BlockKey key = new BlockKey(scope, version, hashes.get(i));
            if (mBlocks.put(key, Boolean.TRUE) == null) {
                added.add(0, key.hash());
            }
        }
        return added;
    }

    /** Evicts blocks until the cache is within its capacity, and returns them. */
    List<BlockKey> evict() {
        List<BlockKey> evicted = new ArrayList<>();
        var oldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mMaxBlocks) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }

    /** Removes all blocks of a version and returns them. */
    List<BlockKey> removeVersion(String version) {
        List<BlockKey> removed =
                mBlocks.keySet().stream().filter(key -> key.version().equals(version)).toList();
        removed.forEach(mBlocks::remove);
        return removed;
    }

    void clear() {
        mBlocks.clear();
    }

    int blocks() {
        return mBlocks.size();
    }
}
