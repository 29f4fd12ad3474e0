package org.skylarkbend.placement;

/**
 * Selects the home endpoints of a prompt, which should hold its prefix in their caches, by
 * rendezvous hashing of its leading blocks.
 *
 * <p>The depth of the first hashed block is the largest power of two up to {@link
 * #MAX_FIRST_DEPTH_SHARE} of the number of blocks, rounded up. Every router therefore selects the
 * same block without shared state. The home endpoints are the candidates with the highest scores
 * for this block; their number is proportional to its share of the recent prompt tokens. If there
 * is more than one, the blocks at the next powers of two narrow them down in the same way. If two
 * routers measure different shares, the smaller set of home endpoints is contained in the larger
 * one.
 */
final class HomeSelector {
    private static final double MAX_FIRST_DEPTH_SHARE = 0.75;

    private final PlacementParameters mParameters;
    private final PrefixPopularity mPopularity;
    private int[] mCandidates = new int[0];
    private long[] mScores = new long[0];

    HomeSelector(PlacementParameters parameters, PrefixPopularity popularity) {
        mParameters = parameters;
        mPopularity = popularity;
    }

    /** Selects the home endpoints of a request and returns their number. */
    int select(PlacementRequest request, CandidateTable candidates, long nowMilliseconds) {
        reset(candidates.count());
        long scopeHash = request.scope().hash();
        double total = mPopularity.total(nowMilliseconds);
        BlockHashes blocks = request.chain().blocks();
        int count = candidates.count();
        int firstDepth =
                Integer.highestOneBit((int) Math.ceil(MAX_FIRST_DEPTH_SHARE * blocks.count()));
        for (int depth = firstDepth;
                depth > 0 && count > 1;
                depth = nextDepth(depth, blocks.count())) {
            long key = PrefixIndex.keyOf(scopeHash, blocks.get(depth - 1));
            double share = share(mPopularity.count(key, nowMilliseconds), total);
            count = keepHighestScores(key, homeCount(share, candidates.count()), count, candidates);
        }
        return count;
    }

    /** Returns the candidate number of a home endpoint, by its index from 0. */
    int home(int index) {
        return mCandidates[index];
    }

    private void reset(int count) {
        if (mCandidates.length < count) {
            mCandidates = new int[count];
            mScores = new long[count];
        }
        for (int i = 0; i < count; i++) {
            mCandidates[i] = i;
        }
    }

    /**
     * Returns the depth of the next block to be hashed: the next power of two, then the whole
     * prompt, then 0 for none.
     */
    private static int nextDepth(int depth, int blocks) {
        return depth >= blocks ? 0 : Math.min(2 * depth, blocks);
    }

    /**
     * Computes a share of the recent prompt tokens. It stays small while few tokens have been
     * counted, so that the first requests with a prefix go to one home endpoint.
     */
    private double share(double tokens, double total) {
        return tokens / (total + mParameters.warmUpTokens());
    }

    private int homeCount(double share, int candidates) {
        return Math.max(1, (int) Math.round(share * mParameters.homeShareFactor() * candidates));
    }

    private int keepHighestScores(long key, int wanted, int count, CandidateTable candidates) {
        if (wanted >= count) {
            return count;
        }
        for (int i = 0; i < count; i++) {
            mScores[i] = PrefixIndex.mix(key ^ candidates.endpointHash(mCandidates[i]));
        }
        for (int i = 0; i < wanted; i++) {
            swap(i, highest(i, count));
        }
        return wanted;
    }

    private int highest(int from, int count) {
        int highest = from;
        for (int i = from + 1; i < count; i++) {
            if (Long.compareUnsigned(mScores[i], mScores[highest]) > 0) {
                highest = i;
            }
        }
        return highest;
    }

    private void swap(int a, int b) {
        int candidate = mCandidates[a];
        mCandidates[a] = mCandidates[b];
        mCandidates[b] = candidate;
        long score = mScores[a];
        mScores[a] = mScores[b];
        mScores[b] = score;
    }
}
