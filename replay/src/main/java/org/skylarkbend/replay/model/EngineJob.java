package org.skylarkbend.replay.model;

import org.skylarkbend.placement.PlacementRequest;

/** A request that is queued or running on an engine model. */
final class EngineJob {
    private final PlacementRequest mRequest;
    private final long mRank;
    private final EngineListener mListener;
    private int mCachedBlocks;
    private double mRemainingTokens;
    private boolean mStarted;
    private boolean mCancelled;

    /** Creates a queued job. Jobs of lower rank are served first. */
    EngineJob(PlacementRequest request, long rank, EngineListener listener) {
        mRequest = request;
        mRank = rank;
        mListener = listener;
        mRemainingTokens = request.chain().promptTokens();
    }

    PlacementRequest request() {
        return mRequest;
    }

    long rank() {
        return mRank;
    }

    EngineListener listener() {
        return mListener;
    }

    void start(int cachedBlocks, long cachedTokens) {
        mStarted = true;
        mCachedBlocks = cachedBlocks;
        mRemainingTokens -= cachedTokens;
    }

    boolean started() {
        return mStarted;
    }

    int cachedBlocks() {
        return mCachedBlocks;
    }

    double remainingTokens() {
        return mRemainingTokens;
    }

    void consumeTokens(double tokens) {
        mRemainingTokens -= tokens;
    }

    void cancel() {
        mCancelled = true;
    }

    boolean cancelled() {
        return mCancelled;
    }
}
