package org.skylarkbend.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;
import org.skylarkbend.placement.PlacementMessage.EndpointRemoved;
import org.skylarkbend.placement.PlacementMessage.EventsLost;
import org.skylarkbend.placement.PlacementMessage.FirstTokenReceived;
import org.skylarkbend.placement.PlacementMessage.LoadReport;
import org.skylarkbend.placement.PlacementMessage.RequestFailed;
import org.skylarkbend.placement.PlacementMessage.RequestFinished;
import org.skylarkbend.placement.PlacementMessage.RequestSent;

/**
 * Selects an endpoint for each request from the state known to one router.
 *
 * <p>{@link #apply} takes updates about endpoints, load reports, cache events and the requests of
 * this router; {@link #choose} selects an endpoint. Not thread-safe: an instance is confined to the
 * task that owns it.
 */
public final class PlacementDecider {
    private static final int MILLISECONDS_PER_TIMESTAMP_UNIT = 100;

    private final PlacementParameters mParameters;
    private final PlacementPolicy mPolicy;
    private final PrefixIndex mIndex;
    private final KnownCandidates mCandidates = new KnownCandidates();
    private final Map<ObjectName, EndpointState> mEndpoints = new TreeMap<>();
    private final Map<String, OpenAttempt> mAttempts = new HashMap<>();
    private final Map<PoolVersion, EndpointState[]> mPools = new HashMap<>();
    private final List<Integer> mFreeSlots = new ArrayList<>();
    private final PriorityMix mPriorityMix = new PriorityMix();
    private int[] mMinTimestamps = new int[0];
    private int[] mMinTimestampBySlot = new int[0];
    private int mSlotCount;

    /** Creates a decider without any endpoints. */
    public PlacementDecider(PlacementParameters parameters, PlacementPolicy policy) {
        mParameters = parameters;
        mPolicy = policy;
        mIndex = new PrefixIndex(parameters.maxIndexEntries());
    }

    /** Updates the state from a message. Messages about an earlier incarnation are ignored. */
    public void apply(PlacementMessage message, long nowMilliseconds) {
        if (message instanceof EndpointAdded added) {
            endpointAdded(added, nowMilliseconds);
        } else if (message instanceof EndpointRemoved removed) {
            removeEndpoint(removed.endpoint());
        } else if (message instanceof LoadReport report) {
            current(report.engine()).ifPresent(state -> state.report(report));
        } else if (message instanceof CacheEvent event) {
            current(event.engine()).ifPresent(state -> cacheEvent(state, event, nowMilliseconds));
        } else if (message instanceof EventsLost lost) {
            current(lost.engine()).ifPresent(state -> ignoreOlderEntries(state, nowMilliseconds));
        } else if (message instanceof RequestSent sent) {
            current(sent.engine()).ifPresent(state -> sent(state, sent, nowMilliseconds));
        } else if (message instanceof FirstTokenReceived first) {
            firstToken(first.attempt(), nowMilliseconds);
        } else if (message instanceof RequestFinished finished) {
            finished(finished, nowMilliseconds);
        } else if (message instanceof RequestFailed failed) {
            failed(failed.attempt());
        }
    }

    /** Selects an endpoint. Returns empty if no live endpoint of the pool serves the version. */
    public Optional<PlacementChoice> choose(PlacementRequest request, long nowMilliseconds) {
        mCandidates.fill(
                pool(request.pool(), request.version()),
                request,
                mPriorityMix.shareAhead(request.priority()),
                nowMilliseconds);
        if (mCandidates.count() == 0) {
            return Optional.empty();
        }
        int[] depths = mCandidates.clearedDepths(mSlotCount);
        mIndex.match(
                request.scope().hash(),
                request.chain().blocks(),
                minTimestamps(nowMilliseconds),
                depths);
        int chosen = mPolicy.choose(request, mCandidates, nowMilliseconds);
        return Optional.of(
                new PlacementChoice(
                        mCandidates.state(chosen).engine(),
                        PrefixChain.tokensOf(mCandidates.cachedBlocks(chosen)),
                        (long) mCandidates.backlogTokens(chosen)));
    }

    /** Returns the memory size of the block index in bytes. */
    public long indexMemoryBytes() {
        return mIndex.memoryBytes();
    }

    /** Returns the number of entries in the block index, one for each block at each engine. */
    public int knownBlocks() {
        return mIndex.count();
    }

    private void endpointAdded(EndpointAdded added, long nowMilliseconds) {
        Optional<EndpointState> known = current(added.engine());
        if (known.isPresent()) {
            known.get().update(added);
        } else {
            removeEndpoint(added.engine().endpoint());
            EndpointState state = new EndpointState(added, allocateSlot(), nowMilliseconds);
            mEndpoints.put(added.engine().endpoint(), state);
        }
        mPools.clear();
    }

    private void removeEndpoint(ObjectName endpoint) {
        EndpointState state = mEndpoints.remove(endpoint);
        if (state != null) {
            mIndex.removeSlot(state.slot());
            mMinTimestampBySlot[state.slot()] = 0;
            mFreeSlots.add(state.slot());
            mPools.clear();
        }
    }

    private int allocateSlot() {
        if (!mFreeSlots.isEmpty()) {
            return mFreeSlots.remove(mFreeSlots.size() - 1);
        }
        if (mSlotCount == mMinTimestampBySlot.length) {
            mMinTimestampBySlot = Arrays.copyOf(mMinTimestampBySlot, 2 * mSlotCount + 1);
        }
        return mSlotCount++;
    }

    private void cacheEvent(EndpointState state, CacheEvent event, long nowMilliseconds) {
        if (state.detectGap(event.sequence())) {
            ignoreOlderEntries(state, nowMilliseconds);
        }
        long scopeHash = CacheScope.hashOfText(event.scopeText());
        switch (event.kind()) {
            case STORED -> stored(state, scopeHash, event.blocks(), nowMilliseconds);
            case REMOVED -> removed(state, scopeHash, event.blocks(), 0);
            case CLEARED -> mIndex.removeSlot(state.slot());
            default -> throw new IllegalStateException("unknown cache event kind: " + event.kind());
        }
    }

    /** Ignores older entries of the engine until an event or a response confirms them. */
    private void ignoreOlderEntries(EndpointState state, long nowMilliseconds) {
        mMinTimestampBySlot[state.slot()] = timestampOf(nowMilliseconds);
    }

    private void stored(EndpointState state, long scopeHash, BlockHashes blocks, long now) {
        for (int i = 0; i < blocks.count(); i++) {
            mIndex.put(PrefixIndex.keyOf(scopeHash, blocks.get(i)), state.slot(), timestampOf(now));
        }
    }

    private void removed(EndpointState state, long scopeHash, BlockHashes blocks, int from) {
        for (int i = from; i < blocks.count(); i++) {
            mIndex.remove(PrefixIndex.keyOf(scopeHash, blocks.get(i)), state.slot());
        }
    }

    private void sent(EndpointState state, RequestSent sent, long nowMilliseconds) {
        PrefixChain chain = sent.request().chain();
        long scopeHash = sent.request().scope().hash();
        int cached = cachedBlocks(state, scopeHash, chain.blocks());
        long uncachedTokens = chain.promptTokens() - PrefixChain.tokensOf(cached);
        mAttempts.put(sent.attempt(), new OpenAttempt(sent.engine(), scopeHash, chain));
        mPriorityMix.sent(sent.request().priority(), uncachedTokens);
        state.sent(sent.attempt(), sent.request().priority(), uncachedTokens, nowMilliseconds);
    }

    private int cachedBlocks(EndpointState state, long scopeHash, BlockHashes blocks) {
        int cached = 0;
        while (cached < blocks.count()
                && mIndex.contains(
                        PrefixIndex.keyOf(scopeHash, blocks.get(cached)), state.slot())) {
            cached++;
        }
        return cached;
    }

    /** Records that the engine has processed the prompt and therefore holds all its blocks. */
    private void firstToken(String attempt, long nowMilliseconds) {
        OpenAttempt open = mAttempts.get(attempt);
        if (open != null) {
            current(open.engine())
                    .ifPresent(
                            state -> {
                                state.promptProcessed(attempt);
                                BlockHashes blocks = open.chain().blocks();
                                stored(state, open.scopeHash(), blocks, nowMilliseconds);
                            });
        }
    }

    private void finished(RequestFinished finished, long nowMilliseconds) {
        firstToken(finished.attempt(), nowMilliseconds);
        OpenAttempt open = mAttempts.remove(finished.attempt());
        if (open != null && open.chain().promptTokens() > 0) {
            double hitRatio = (double) finished.cachedTokens() / open.chain().promptTokens();
            current(open.engine()).ifPresent(state -> state.updateMissRatio(1 - hitRatio));
        }
    }

    private void failed(String attempt) {
        OpenAttempt open = mAttempts.remove(attempt);
        if (open != null) {
            current(open.engine()).ifPresent(state -> state.promptProcessed(attempt));
        }
    }

    private Optional<EndpointState> current(EngineIncarnation engine) {
        return Optional.ofNullable(mEndpoints.get(engine.endpoint()))
                .filter(state -> state.engine().equals(engine));
    }

    private EndpointState[] pool(ObjectName pool, ObjectName version) {
        return mPools.computeIfAbsent(
                new PoolVersion(pool, version),
                key ->
                        mEndpoints.values().stream()
                                .filter(state -> state.serves(pool, version))
                                .toArray(EndpointState[]::new));
    }

    private int[] minTimestamps(long nowMilliseconds) {
        if (mMinTimestamps.length < mSlotCount) {
            mMinTimestamps = new int[mMinTimestampBySlot.length];
        }
        int minTimestamp = timestampOf(nowMilliseconds - mParameters.entryLifeMilliseconds());
        for (int slot = 0; slot < mSlotCount; slot++) {
            mMinTimestamps[slot] = Math.max(minTimestamp, mMinTimestampBySlot[slot]);
        }
        return mMinTimestamps;
    }

    private static int timestampOf(long milliseconds) {
        return (int) (milliseconds / MILLISECONDS_PER_TIMESTAMP_UNIT);
    }

    /** Key of the endpoints that serve one version in one pool. */
    private record PoolVersion(ObjectName pool, ObjectName version) {}

    /** A request that this router has sent and that has not ended. */
    private record OpenAttempt(EngineIncarnation engine, long scopeHash, PrefixChain chain) {}
}
