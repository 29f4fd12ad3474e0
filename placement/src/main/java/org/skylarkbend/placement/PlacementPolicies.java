package org.skylarkbend.placement;

import java.util.function.IntUnaryOperator;

/** Baseline policies to compare with the policy of the router. */
public final class PlacementPolicies {
    private PlacementPolicies() {}

    /** Selects a random candidate. The operator returns a random number below its argument. */
    public static PlacementPolicy random(IntUnaryOperator randomBelow) {
        return (request, candidates, now) -> randomBelow.applyAsInt(candidates.count());
    }

    /** Selects the candidate with the lowest sum of queued prompt tokens and open requests. */
    public static PlacementPolicy leastLoad() {
        return (request, candidates, now) ->
                leastCost(
                        candidates, i -> candidates.backlogTokens(i) + candidates.openRequests(i));
    }

    /**
     * Selects a candidate by rendezvous hashing of the block at a fixed depth of the prompt.
     *
     * @param depthBlocks the number of leading blocks of the prompt that determine the selection
     */
    public static PlacementPolicy rendezvous(int depthBlocks) {
        return (request, candidates, now) -> {
            BlockHashes blocks = request.chain().blocks();
            int last = Math.min(depthBlocks, blocks.count()) - 1;
            long scopeHash = request.scope().hash();
            long key = last < 0 ? scopeHash : PrefixIndex.keyOf(scopeHash, blocks.get(last));
            return highestScore(candidates, key);
        };
    }

    /**
     * Selects the candidate with the lowest expected time to the first token, computed from its
     * backlog and its cached blocks. The result is only as accurate as the candidate table.
     */
    public static PlacementPolicy lowestTimeToFirstToken() {
        return (request, candidates, now) ->
                leastCost(
                        candidates,
                        i ->
                                candidates.backlogTokens(i)
                                        - PrefixChain.tokensOf(candidates.cachedBlocks(i)));
    }

    private static int highestScore(CandidateTable candidates, long key) {
        int best = 0;
        long bestScore = 0;
        for (int i = 0; i < candidates.count(); i++) {
            long score = PrefixIndex.mix(key ^ candidates.endpointHash(i));
            if (Long.compareUnsigned(score, bestScore) > 0) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    private static int leastCost(CandidateTable candidates, CandidateCost cost) {
        int best = 0;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < candidates.count(); i++) {
            double candidateCost = cost.of(i);
            if (candidateCost < bestCost) {
                best = i;
                bestCost = candidateCost;
            }
        }
        return best;
    }

    /** Computes the cost of one candidate. */
    @FunctionalInterface
    private interface CandidateCost {
        double of(int candidate);
    }
}
