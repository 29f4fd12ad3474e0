package org.skylarkbend.replay.model;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.CacheScope;
import org.skylarkbend.placement.CandidateTable;
import org.skylarkbend.placement.PlacementRequest;

/** Candidates with the exact current state of each engine's cache and queue. */
final class OracleCandidates implements CandidateTable {
    private final List<EngineModel> mEngines;
    private final int[] mCachedBlocks;
    private final double[] mBacklogTokens;

    OracleCandidates(List<EngineModel> engines, PlacementRequest request, long rank) {
        mEngines = engines;
        mCachedBlocks =
                engines.stream()
                        .mapToInt(e -> e.cachedBlocks(request.scope(), request.chain().blocks()))
                        .toArray();
        mBacklogTokens = engines.stream().mapToDouble(e -> e.tokensAhead(rank)).toArray();
    }

    @Override
    public int count() {
        return mEngines.size();
    }

    @Override
    public ObjectName endpoint(int candidate) {
        return mEngines.get(candidate).incarnation().endpoint();
    }

    @Override
    public long endpointHash(int candidate) {
        return CacheScope.hashOfText(endpoint(candidate).value());
    }

    @Override
    public int cachedBlocks(int candidate) {
        return mCachedBlocks[candidate];
    }

    @Override
    public double backlogTokens(int candidate) {
        return mBacklogTokens[candidate];
    }

    @Override
    public int openRequests(int candidate) {
        return mEngines.get(candidate).openRequests();
    }
}
