package org.skylarkbend.placement;

/**
 * The policy of the router: minimizes the cost of a request, in prompt tokens to process before its
 * first token.
 *
 * <p>The cost of a candidate is the sum of the prompt tokens it must recompute, its backlog, and a
 * penalty for computing a prefix outside of its home endpoints. The penalty exists because such a
 * prefix takes cache space that another prefix needs. The number of home endpoints of a prefix
 * grows with its share of the recent prompt tokens.
 */
public final class PrefixCostPolicy implements PlacementPolicy {
    private final PlacementParameters mParameters;
    private final PrefixPopularity mPopularity;
    private final HomeSelector mHomes;
    private boolean[] mIsHome = new boolean[0];

    /** Creates a policy without traffic statistics. Not thread-safe: confined to one task. */
    public PrefixCostPolicy(PlacementParameters parameters) {
        mParameters = parameters;
        mPopularity =
                new PrefixPopularity(
                        parameters.popularityBuckets(), parameters.popularityDecayMilliseconds());
        mHomes = new HomeSelector(parameters, mPopularity);
    }

    @Override
    public int choose(PlacementRequest request, CandidateTable candidates, long nowMilliseconds) {
        markHomes(request, candidates, nowMilliseconds);
        mPopularity.count(request.scope().hash(), request.chain(), nowMilliseconds);
        int best = 0;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < candidates.count(); i++) {
            double cost = cost(request, candidates, i);
            if (cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        return best;
    }

    private void markHomes(PlacementRequest request, CandidateTable candidates, long now) {
        if (mIsHome.length < candidates.count()) {
            mIsHome = new boolean[candidates.count()];
        }
        java.util.Arrays.fill(mIsHome, false);
        int homes = mHomes.select(request, candidates, now);
        for (int i = 0; i < homes; i++) {
            mIsHome[mHomes.home(i)] = true;
        }
    }

    private double cost(PlacementRequest request, CandidateTable candidates, int candidate) {
        long cached = PrefixChain.tokensOf(candidates.cachedBlocks(candidate));
        double recomputed = request.chain().promptTokens() - cached;
        double nonHomePenalty =
                mIsHome[candidate] ? 0 : mParameters.nonHomeCostFactor() * recomputed;
        return recomputed
                + nonHomePenalty
                + candidates.backlogTokens(candidate)
                + mParameters.openRequestTokens() * candidates.openRequests(candidate);
    }
}
