package org.skylarkbend.placement;

import java.util.Arrays;
import java.util.List;

/** An immutable list of block hashes, stored as an array of primitives. */
public final class BlockHashes {
    private static final int HEX_RADIX = 16;
    private static final BlockHashes EMPTY = new BlockHashes(new long[0]);

    private final long[] mHashes;

    private BlockHashes(long[] hashes) {
        mHashes = hashes;
    }

    /** Creates a list of the given hashes. */
    public static BlockHashes of(long... hashes) {
        return hashes.length == 0 ? EMPTY : new BlockHashes(hashes.clone());
    }

    /**
     * Parses hashes of 16 hexadecimal digits each, the format of cache events.
     *
     * @throws NumberFormatException if an element is not a hexadecimal number of 64 bits
     */
    public static BlockHashes ofHex(List<String> hashes) {
        return of(hashes.stream().mapToLong(BlockHashes::parseHex).toArray());
    }

    /** Returns the number of hashes. */
    public int count() {
        return mHashes.length;
    }

    /** Returns the hash at an index, counted from 0. */
    public long get(int index) {
        return mHashes[index];
    }

    /** Returns the leading hashes, at most the given number. */
    public BlockHashes first(int count) {
        return count >= mHashes.length ? this : new BlockHashes(Arrays.copyOf(mHashes, count));
    }

    /** Returns each hash as 16 hexadecimal digits. */
    public List<String> toHex() {
        return Arrays.stream(mHashes).mapToObj(hash -> String.format("%016x", hash)).toList();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BlockHashes hashes && Arrays.equals(hashes.mHashes, mHashes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mHashes);
    }

    @Override
    public String toString() {
        return toHex().toString();
    }

    private static long parseHex(String text) {
        return Long.parseUnsignedLong(text, HEX_RADIX);
    }
}
