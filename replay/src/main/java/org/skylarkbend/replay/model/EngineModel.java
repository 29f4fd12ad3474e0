package org.skylarkbend.replay.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.CacheEventKind;
import org.skylarkbend.placement.CacheScope;
import org.skylarkbend.placement.EngineIncarnation;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementMessage.LoadReport;
import org.skylarkbend.placement.PrefixChain;
import org.skylarkbend.replay.model.BlockCache.ScopedBlock;

/**
 * Model of an engine with a prefix cache, a priority queue and a batch of responses.
 *
 * <p>Prefill runs in chunks of one block; after each chunk the engine continues with the queued
 * request of the lowest rank. A response occupies a batch slot until it is complete. Responses in
 * the batch do not slow each other down.
 */
final class EngineModel {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final ObjectName mName;
    private final ObjectName mDataCentre;
    private final ModelParameters mParameters;
    private final EventLoop mLoop;
    private final Consumer<CacheEvent> mEvents;
    private final PriorityQueue<EngineJob> mQueue =
            new PriorityQueue<>(Comparator.comparingLong(EngineJob::rank));
    private final Set<EngineJob> mDecoding = new HashSet<>();
    private BlockCache mCache;
    private LoadReport mLastReport;
    private EngineJob mPrefilling;
    private long mIncarnation;
    private long mSequence;
    private boolean mLive;

    EngineModel(
            ObjectName name,
            ObjectName dataCentre,
            ModelParameters parameters,
            EventLoop loop,
            Consumer<CacheEvent> events) {
        mName = name;
        mDataCentre = dataCentre;
        mParameters = parameters;
        mLoop = loop;
        mEvents = events;
        start();
    }

    EngineIncarnation incarnation() {
        return new EngineIncarnation(mName, mIncarnation);
    }

    ObjectName dataCentre() {
        return mDataCentre;
    }

    boolean live() {
        return mLive;
    }

    /** Starts a new incarnation with an empty cache. */
    void start() {
        mIncarnation++;
        mSequence = 0;
        mLive = true;
        mCache = new BlockCache(mParameters.cacheBlocks());
        mLastReport = new LoadReport(incarnation(), 0, 0, 0, mLoop.nowMilliseconds());
        recordLoad(mIncarnation);
    }

    /** Ends the incarnation. All requests on it fail. */
    void crash() {
        mLive = false;
        List<EngineJob> failedJobs = new ArrayList<>(mQueue);
        failedJobs.addAll(mDecoding);
        mQueue.clear();
        mDecoding.clear();
        mPrefilling = null;
        failedJobs.forEach(job -> job.listener().failed());
    }

    void submit(EngineJob job) {
        mQueue.add(job);
        scheduleNextChunk();
    }

    /** Cancels a request that has not yet produced its first token. */
    void cancel(EngineJob job) {
        job.cancel();
        mQueue.remove(job);
    }

    /** Returns the most recently recorded load, labelled with the given time. */
    LoadReport report(long asOfMilliseconds) {
        return new LoadReport(
                mLastReport.engine(),
                mLastReport.running(),
                mLastReport.queued(),
                mLastReport.queuedPromptTokens(),
                asOfMilliseconds);
    }

    /** Returns the number of leading blocks that are cached or will be after the queued prompts. */
    int cachedBlocks(CacheScope scope, BlockHashes blocks) {
        Set<ScopedBlock> pendingBlocks = new HashSet<>();
        for (EngineJob job : mQueue) {
            BlockHashes jobBlocks = job.request().chain().blocks();
            for (int i = 0; i < jobBlocks.count(); i++) {
                pendingBlocks.add(new ScopedBlock(job.request().scope(), jobBlocks.get(i)));
            }
        }
        int matched = 0;
        while (matched < blocks.count()
                && isCachedOrPending(new ScopedBlock(scope, blocks.get(matched)), pendingBlocks)) {
            matched++;
        }
        return matched;
    }

    /** Returns the number of tokens to compute before a new request of this rank. */
    double tokensAhead(long rank) {
        double tokens = 0;
        for (EngineJob job : mQueue) {
            if (job.rank() <= rank) {
                tokens += job.started() ? job.remainingTokens() : uncachedTokens(job);
            }
        }
        return tokens;
    }

    int openRequests() {
        return mQueue.size() + mDecoding.size();
    }

    private boolean isCachedOrPending(ScopedBlock block, Set<ScopedBlock> pendingBlocks) {
        return mCache.holds(block) || pendingBlocks.contains(block);
    }

    private double uncachedTokens(EngineJob job) {
        PrefixChain chain = job.request().chain();
        int cached = mCache.matchPrefix(job.request().scope(), chain.blocks());
        return chain.promptTokens() - PrefixChain.tokensOf(cached);
    }

    private void recordLoad(long incarnation) {
        if (!mLive || incarnation != mIncarnation) {
            return;
        }
        long queuedTokens =
                mQueue.stream().mapToLong(job -> job.request().chain().promptTokens()).sum();
        mLastReport =
                new LoadReport(
                        incarnation(),
                        mDecoding.size(),
                        mQueue.size(),
                        queuedTokens,
                        mLoop.nowMilliseconds());
        mLoop.scheduleAfter(mParameters.reportLagMilliseconds(), () -> recordLoad(incarnation));
    }

    private void scheduleNextChunk() {
        boolean batchFull = mDecoding.size() >= mParameters.batchRequests();
        if (mPrefilling != null || mQueue.isEmpty() || batchFull) {
            return;
        }
        EngineJob job = mQueue.peek();
        double overheadMilliseconds = job.started() ? 0 : mParameters.overheadMilliseconds();
        if (!job.started()) {
            startPrefill(job);
        }
        double tokens = Math.min(PrefixChain.BLOCK_TOKENS, job.remainingTokens());
        double tokensPerMillisecond =
                mParameters.prefillTokensPerSecond() / MILLISECONDS_PER_SECOND;
        long durationMilliseconds =
                Math.round(overheadMilliseconds + tokens / tokensPerMillisecond);
        long incarnation = mIncarnation;
        mPrefilling = job;
        mLoop.scheduleAfter(durationMilliseconds, () -> onChunkComplete(job, tokens, incarnation));
    }

    private void startPrefill(EngineJob job) {
        CacheScope scope = job.request().scope();
        BlockHashes blocks = job.request().chain().blocks();
        int cached = mCache.matchPrefix(scope, blocks);
        mCache.touch(scope, blocks, cached);
        job.start(cached, PrefixChain.tokensOf(cached));
    }

    private void onChunkComplete(EngineJob job, double tokens, long incarnation) {
        if (incarnation != mIncarnation || !mLive) {
            return;
        }
        mPrefilling = null;
        job.consumeTokens(tokens);
        if (job.remainingTokens() <= 0 && !job.cancelled()) {
            mQueue.remove(job);
            onPrefillComplete(job, incarnation);
        }
        scheduleNextChunk();
    }

    private void onPrefillComplete(EngineJob job, long incarnation) {
        mDecoding.add(job);
        BlockHashes blocks = job.request().chain().blocks();
        publish(CacheEventKind.STORED, mCache.touch(job.request().scope(), blocks, blocks.count()));
        publish(CacheEventKind.REMOVED, mCache.evict());
        job.listener().firstToken(job.cachedBlocks());
        double decodeMilliseconds =
                job.request().answerTokens() * mParameters.millisecondsPerAnswerToken();
        mLoop.scheduleAfter(
                Math.round(decodeMilliseconds), () -> onDecodeComplete(job, incarnation));
    }

    private void onDecodeComplete(EngineJob job, long incarnation) {
        if (incarnation == mIncarnation && mDecoding.remove(job)) {
            job.listener().finished(job.cachedBlocks());
            scheduleNextChunk();
        }
    }

    private void publish(CacheEventKind kind, List<ScopedBlock> blocks) {
        Map<CacheScope, List<Long>> byScope = new HashMap<>();
        blocks.forEach(
                block ->
                        byScope.computeIfAbsent(block.scope(), s -> new ArrayList<>())
                                .add(block.hash()));
        byScope.entrySet().stream()
                .sorted(Comparator.comparing(entry -> entry.getKey().text()))
                .forEach(entry -> publish(kind, entry.getKey(), entry.getValue()));
    }

    private void publish(CacheEventKind kind, CacheScope scope, List<Long> hashes) {
        BlockHashes blocks = BlockHashes.of(hashes.stream().mapToLong(Long::longValue).toArray());
        mEvents.accept(new CacheEvent(incarnation(), ++mSequence, kind, scope.text(), blocks));
    }
}
