package org.skylarkbend.placement;

import java.util.Arrays;
import org.skylarkbend.base.ObjectName;

/**
 * Candidates of one request from the state of one router. The instance is reused: it is filled
 * again for each request.
 */
final class KnownCandidates implements CandidateTable {
    private EndpointState[] mEndpoints = new EndpointState[0];
    private int[] mDepthBySlot = new int[0];
    private int mPriority;
    private double mShareAhead = 1;
    private long mNowMilliseconds;

    void fill(
            EndpointState[] endpoints,
            PlacementRequest request,
            double shareAhead,
            long nowMilliseconds) {
        mPriority = request.priority();
        mShareAhead = shareAhead;
        mNowMilliseconds = nowMilliseconds;
        if (request.excluded().isEmpty()) {
            mEndpoints = endpoints;
        } else {
            mEndpoints =
                    Arrays.stream(endpoints)
                            .filter(e -> !request.excluded().contains(e.engine().endpoint()))
                            .toArray(EndpointState[]::new);
        }
    }

    /** Returns a zeroed array with one element for each slot, to receive the matched depths. */
    int[] clearedDepths(int slots) {
        if (mDepthBySlot.length < slots) {
            mDepthBySlot = new int[slots];
        }
        Arrays.fill(mDepthBySlot, 0);
        return mDepthBySlot;
    }

    EndpointState state(int candidate) {
        return mEndpoints[candidate];
    }

    @Override
    public int count() {
        return mEndpoints.length;
    }

    @Override
    public ObjectName endpoint(int candidate) {
        return mEndpoints[candidate].engine().endpoint();
    }

    @Override
    public long endpointHash(int candidate) {
        return mEndpoints[candidate].hash();
    }

    @Override
    public int cachedBlocks(int candidate) {
        return mDepthBySlot[mEndpoints[candidate].slot()];
    }

    @Override
    public double backlogTokens(int candidate) {
        return mEndpoints[candidate].backlogTokens(mPriority, mShareAhead, mNowMilliseconds);
    }

    @Override
    public int openRequests(int candidate) {
        return mEndpoints[candidate].openRequests();
    }
}
