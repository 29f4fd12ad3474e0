package org.skylarkbend.placement;

/**
 * Tracks the share of the recent prompt tokens that belongs to prompts containing each block.
 *
 * <p>The table has a fixed size and exponentially decaying counters. When its bucket is full, a new
 * block replaces the block with the lowest counter.
 */
public final class PrefixPopularity {
    private static final int BLOCKS_PER_BUCKET = 4;

    /** Weight of a new token beyond which all counters are rescaled. */
    private static final double MAX_WEIGHT = 1e12;

    private final long[] mKeys;
    private final double[] mCounts;
    private final int mBucketMask;
    private final double mDecayMilliseconds;
    private long mOriginMilliseconds;
    private double mTotal;

    /**
     * Creates an empty table.
     *
     * @param buckets the number of buckets, a power of two; a bucket holds four blocks
     * @param decayMilliseconds the time after which the weight of a token has decayed to 1/e
     */
    public PrefixPopularity(int buckets, long decayMilliseconds) {
        mKeys = new long[buckets * BLOCKS_PER_BUCKET];
        mCounts = new double[buckets * BLOCKS_PER_BUCKET];
        mBucketMask = buckets - 1;
        mDecayMilliseconds = decayMilliseconds;
    }

    /** Adds the tokens of a prompt to the counter of each of its blocks. */
    public void count(long scopeHash, PrefixChain chain, long nowMilliseconds) {
        BlockHashes blocks = chain.blocks();
        double weight = weight(nowMilliseconds) * chain.promptTokens();
        mTotal += weight;
        for (int i = 0; i < blocks.count(); i++) {
            add(PrefixIndex.keyOf(scopeHash, blocks.get(i)), weight);
        }
    }

    /** Adds tokens to the counter of a single key. */
    public void count(long key, long tokens, long nowMilliseconds) {
        double weight = weight(nowMilliseconds) * tokens;
        mTotal += weight;
        add(key, weight);
    }

    private void add(long key, double weight) {
        int cell = cellOf(key);
        mCounts[cell] = mKeys[cell] == key ? mCounts[cell] + weight : weight;
        mKeys[cell] = key;
    }

    /** Returns the decayed sum of the tokens of all prompts. */
    public double total(long nowMilliseconds) {
        return mTotal / weight(nowMilliseconds);
    }

    /** Returns the decayed sum of the tokens of prompts that contain a block. */
    public double count(long key, long nowMilliseconds) {
        int cell = cellOf(key);
        return mKeys[cell] == key ? mCounts[cell] / weight(nowMilliseconds) : 0;
    }

    private int cellOf(long key) {
        int first = ((int) key & mBucketMask) * BLOCKS_PER_BUCKET;
        int lowest = first;
        for (int cell = first; cell < first + BLOCKS_PER_BUCKET; cell++) {
            if (mKeys[cell] == key) {
                return cell;
            }
            if (mCounts[cell] < mCounts[lowest]) {
                lowest = cell;
            }
        }
        return lowest;
    }

    /**
     * Returns the weight of a token counted now, relative to one counted at the origin. Weights
     * that grow with time take the place of decaying every counter; the counters are rescaled
     * before the weight grows too large.
     */
    private double weight(long nowMilliseconds) {
        double weight = Math.exp((nowMilliseconds - mOriginMilliseconds) / mDecayMilliseconds);
        if (weight < MAX_WEIGHT) {
            return weight;
        }
        for (int i = 0; i < mCounts.length; i++) {
            mCounts[i] /= weight;
        }
        mTotal /= weight;
        mOriginMilliseconds = nowMilliseconds;
        return 1;
    }
}
