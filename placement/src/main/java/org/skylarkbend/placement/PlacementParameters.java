package org.skylarkbend.placement;

/**
 * The parameters of the placement policy.
 *
 * @param maxIndexEntries the maximum number of entries in the block index of a router
 * @param entryLifeMilliseconds the time after which an index entry is stale unless it is confirmed
 * @param popularityBuckets the number of buckets in the table of prefix popularity, a power of two;
 *     a bucket holds four blocks
 * @param popularityDecayMilliseconds the time after which the weight of a token has decayed to 1/e
 * @param homeShareFactor the factor from the traffic share of a prefix to the share of the
 *     candidates that are its home endpoints
 * @param warmUpTokens tokens added to the recent prompt tokens when shares are computed, so that a
 *     few requests after a start do not make a large share
 * @param nonHomeCostFactor the additional cost of a token that is recomputed away from the home
 *     endpoints
 * @param openRequestTokens the cost of an open request at a candidate, in recomputed tokens
 */
public record PlacementParameters(
        int maxIndexEntries,
        long entryLifeMilliseconds,
        int popularityBuckets,
        long popularityDecayMilliseconds,
        double homeShareFactor,
        double warmUpTokens,
        double nonHomeCostFactor,
        double openRequestTokens) {
    /** Returns the parameters that routers use unless their settings override them. */
    public static PlacementParameters defaults() {
        return new PlacementParameters(1_000_000, 60_000, 1 << 13, 120_000, 1.0, 300_000, 4.0, 50);
    }
}
