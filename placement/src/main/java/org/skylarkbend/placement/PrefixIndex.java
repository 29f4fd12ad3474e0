package org.skylarkbend.placement;

import java.util.Arrays;

/**
 * Index of the prompt blocks that each engine has in its cache.
 *
 * <p>The index is an open-addressing hash table with linear probing over primitive arrays. An entry
 * stands for one block at one engine. Its key is a hash of the cache scope and of the block; the
 * engine is identified by a slot number (an array index, not a batch slot), which the owner of the
 * index assigns to one incarnation of one endpoint and releases with {@link #removeSlot}. Entries
 * with the same key are in the same probe sequence. The table holds at most a given number of
 * entries; when it is full, a new entry evicts an old one.
 *
 * <p>Not thread-safe: an instance is confined to the task that owns it.
 */
public final class PrefixIndex {
    private static final double GROWTH_FACTOR = 1.3;
    private static final double MAX_LOAD_FACTOR = 0.8;
    private static final int INITIAL_CAPACITY = 64;
    private static final int EVICTION_SAMPLE_ENTRIES = 8;
    private static final int BYTES_PER_CELL = Long.BYTES + Integer.BYTES + Short.BYTES;
    private static final short FREE = -1;

    private final int mMaxEntries;
    private long[] mKeys = new long[INITIAL_CAPACITY];
    private int[] mTimestamps = new int[INITIAL_CAPACITY];
    private short[] mSlots = freeSlots(INITIAL_CAPACITY);
    private int mCount;
    private int mEvictionCursor;

    /** Creates an empty index that holds at most the given number of entries. */
    public PrefixIndex(int maxEntries) {
        mMaxEntries = maxEntries;
    }

    /** Returns the key of a block in a cache scope. */
    public static long keyOf(long scopeHash, long blockHash) {
        return mix(scopeHash ^ mix(blockHash));
    }

    /** Returns the number of entries. */
    public int count() {
        return mCount;
    }

    /** Returns the size of the arrays of the table in bytes. */
    public long memoryBytes() {
        return (long) mKeys.length * BYTES_PER_CELL;
    }

    /** Records that the engine in the slot holds the block, as known at the given timestamp. */
    public void put(long key, int slot, int timestamp) {
        int cell = find(key, slot);
        if (mSlots[cell] != FREE) {
            mTimestamps[cell] = Math.max(mTimestamps[cell], timestamp);
            return;
        }
        if (evictOrGrow()) {
            cell = find(key, slot);
        }
        mKeys[cell] = key;
        mSlots[cell] = (short) slot;
        mTimestamps[cell] = timestamp;
        mCount++;
    }

    /** Records that the engine in the slot has evicted the block. */
    public void remove(long key, int slot) {
        int cell = find(key, slot);
        if (mSlots[cell] != FREE) {
            removeCell(cell);
        }
    }

    /** Removes all entries of a slot, so that the slot can be assigned to another incarnation. */
    public void removeSlot(int slot) {
        for (int cell = 0; cell < mSlots.length; cell++) {
            while (mSlots[cell] == slot) {
                removeCell(cell);
            }
        }
    }

    /** Returns whether the index has an entry for the block and the slot, however old it is. */
    public boolean contains(long key, int slot) {
        return mSlots[find(key, slot)] != FREE;
    }

    /**
     * Computes for each slot the number of leading blocks of a prompt that its engine holds.
     *
     * @param scopeHash the hash of the cache scope
     * @param blocks the blocks of the prompt
     * @param minTimestamps for each slot, the timestamp below which its entries are ignored as
     *     stale
     * @param depths receives the block counts; all elements must be zero on entry
     */
    public void match(long scopeHash, BlockHashes blocks, int[] minTimestamps, int[] depths) {
        boolean matched = true;
        for (int i = 0; i < blocks.count() && matched; i++) {
            matched = matchBlock(keyOf(scopeHash, blocks.get(i)), i, minTimestamps, depths);
        }
    }

    private boolean matchBlock(long key, int depth, int[] minTimestamps, int[] depths) {
        boolean matched = false;
        for (int cell = homeCell(key); mSlots[cell] != FREE; cell = next(cell)) {
            int slot = mSlots[cell];
            if (mKeys[cell] == key
                    && depths[slot] == depth
                    && mTimestamps[cell] >= minTimestamps[slot]) {
                depths[slot] = depth + 1;
                matched = true;
            }
        }
        return matched;
    }

    private int find(long key, int slot) {
        int cell = homeCell(key);
        while (mSlots[cell] != FREE && (mKeys[cell] != key || mSlots[cell] != slot)) {
            cell = next(cell);
        }
        return cell;
    }

    private boolean evictOrGrow() {
        if (mCount >= mMaxEntries) {
            evictOne();
            return true;
        }
        if (mCount + 1 > mKeys.length * MAX_LOAD_FACTOR) {
            grow();
            return true;
        }
        return false;
    }

    private void evictOne() {
        int oldest = -1;
        int sampled = 0;
        while (sampled < EVICTION_SAMPLE_ENTRIES) {
            mEvictionCursor = next(mEvictionCursor);
            if (mSlots[mEvictionCursor] != FREE) {
                oldest =
                        oldest < 0 || mTimestamps[mEvictionCursor] < mTimestamps[oldest]
                                ? mEvictionCursor
                                : oldest;
                sampled++;
            }
        }
        removeCell(oldest);
    }

    private void grow() {
        long[] keys = mKeys;
        int[] timestamps = mTimestamps;
        short[] slots = mSlots;
        int capacity = (int) (keys.length * GROWTH_FACTOR) + 1;
        mKeys = new long[capacity];
        mTimestamps = new int[capacity];
        mSlots = freeSlots(capacity);
        mEvictionCursor = 0;
        for (int cell = 0; cell < keys.length; cell++) {
            if (slots[cell] != FREE) {
                int target = find(keys[cell], slots[cell]);
                mKeys[target] = keys[cell];
                mTimestamps[target] = timestamps[cell];
                mSlots[target] = slots[cell];
            }
        }
    }

    /**
     * Frees a cell and shifts later entries of its probe sequence back, so that no tombstone is
     * needed.
     */
    private void removeCell(int cell) {
        int hole = cell;
        for (int probe = next(cell); mSlots[probe] != FREE; probe = next(probe)) {
            int homeCell = homeCell(mKeys[probe]);
            if (distance(homeCell, probe) >= distance(hole, probe)) {
                mKeys[hole] = mKeys[probe];
                mTimestamps[hole] = mTimestamps[probe];
                mSlots[hole] = mSlots[probe];
                hole = probe;
            }
        }
        mSlots[hole] = FREE;
        mCount--;
    }

    private int homeCell(long key) {
        return (int) (((key >>> Integer.SIZE) * mKeys.length) >>> Integer.SIZE);
    }

    private int next(int cell) {
        return cell + 1 == mKeys.length ? 0 : cell + 1;
    }

    private int distance(int from, int to) {
        return to >= from ? to - from : to - from + mKeys.length;
    }

    private static short[] freeSlots(int capacity) {
        short[] slots = new short[capacity];
        Arrays.fill(slots, FREE);
        return slots;
    }

    /** The SplitMix64 finalizer: every bit of the input affects every bit of the output. */
    static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
