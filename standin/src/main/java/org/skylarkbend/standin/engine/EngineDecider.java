package org.skylarkbend.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.skylarkbend.standin.engine.EngineEffect.CacheEvent;
import org.skylarkbend.standin.engine.EngineEffect.CacheEventKind;
import org.skylarkbend.standin.engine.EngineEffect.DropConnection;
import org.skylarkbend.standin.engine.EngineEffect.OrderOutcome;
import org.skylarkbend.standin.engine.EngineEffect.RespondToOrder;
import org.skylarkbend.standin.engine.EngineEffect.SendEmpty;
import org.skylarkbend.standin.engine.EngineEffect.SendEvent;
import org.skylarkbend.standin.engine.EngineEffect.SendFailure;
import org.skylarkbend.standin.engine.EngineEffect.WakeAt;
import org.skylarkbend.standin.engine.EngineMessage.Cancel;
import org.skylarkbend.standin.engine.EngineMessage.ChangeFaults;
import org.skylarkbend.standin.engine.EngineMessage.ConnectionClosed;
import org.skylarkbend.standin.engine.EngineMessage.Order;
import org.skylarkbend.standin.engine.EngineMessage.OrderKind;
import org.skylarkbend.standin.engine.EngineMessage.Resume;
import org.skylarkbend.standin.engine.EngineMessage.Submit;
import org.skylarkbend.standin.engine.ResponseStream.Phase;

/**
 * Decides how a fake engine reacts to messages.
 *
 * <p>The model of the time to first token covers what a router can influence: one prompt is
 * computed at a time, only uncached tokens take time, and a response occupies a batch slot until it
 * ends.
 */
public final class EngineDecider {
    private static final long RESUMABLE_MILLISECONDS = 30_000;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_SERVER_ERROR = 500;

    private final EngineOptions mOptions;
    private final PrefixCache mCache;
    private final CacheEvents mEvents;
    private final VersionTable mVersions;
    private final Batch mBatch;
    private final LaggedReports mReports;
    private EngineFaults mFaults = EngineFaults.none();
    private long mIncarnation;
    private double mFailureCredit;

    /**
     * Creates an engine with an empty cache.
     *
     * @param options the capacity and the speed of the engine
     * @param incarnation the number of this incarnation of the engine
     */
    public EngineDecider(EngineOptions options, long incarnation) {
        mOptions = options;
        mIncarnation = incarnation;
        mCache = new PrefixCache(options.cacheBlocks());
        mEvents = new CacheEvents(options.eventDelayMilliseconds());
        mVersions = new VersionTable(options);
        mBatch = new Batch(options.batchSlots());
        mReports = new LaggedReports(options.reportLagMilliseconds());
    }

    /** Handles a message and returns the actions to take. */
    public List<EngineEffect> decide(EngineMessage message, long nowMilliseconds) {
        List<EngineEffect> effects = new ArrayList<>();
        if (message instanceof Submit submit) {
            submit(submit.request(), effects);
        } else if (message instanceof Resume resume) {
            resume(resume, effects);
        } else if (message instanceof ConnectionClosed closed) {
            mBatch.find(closed.attempt())
                    .ifPresent(s -> s.expireAt(nowMilliseconds + RESUMABLE_MILLISECONDS));
        } else if (message instanceof Cancel cancel) {
            mBatch.remove(cancel.attempt());
        } else if (message instanceof Order order) {
            order(order, nowMilliseconds, effects);
        } else if (message instanceof ChangeFaults change) {
            changeFaults(change.faults(), nowMilliseconds, effects);
        }
        advance(nowMilliseconds, effects);
        mReports.record(nowMilliseconds, currentReport(nowMilliseconds));
        nextWakeTime(nowMilliseconds).ifPresent(at -> effects.add(new WakeAt(at)));
        return effects;
    }

    /** Returns the load report that readers get, which is as old as the options specify. */
    public LoadReport report(long nowMilliseconds) {
        mReports.record(nowMilliseconds, currentReport(nowMilliseconds));
        return mReports.at(nowMilliseconds);
    }

    /**
     * Returns the versions and the order state, which the control process reads before it sends
     * orders.
     */
    public EngineView view(long nowMilliseconds) {
        return new EngineView(
                mIncarnation,
                mVersions.loaded(nowMilliseconds),
                mVersions.active(),
                mVersions.lastFencingNumber(),
                mOptions.checksFencing());
    }

    /** Returns the cache events after a sequence number, as far back as they are kept. */
    public List<CacheEvent> eventsAfter(long sequence) {
        return mEvents.after(sequence);
    }

    /** Returns the active faults. */
    public EngineFaults faults() {
        return mFaults;
    }

    private void submit(EngineRequest request, List<EngineEffect> effects) {
        if (mFaults.crashed()) {
            effects.add(new SendEmpty(request.attempt()));
        } else if (failsNow()) {
            effects.add(new SendFailure(request.attempt(), STATUS_SERVER_ERROR));
        } else if (!mFaults.hang()) {
            mBatch.add(new ResponseStream(request, mVersions.active()));
        }
    }

    private boolean failsNow() {
        boolean isAffected =
                mFaults.failVersion().isEmpty() || mFaults.failVersion().equals(mVersions.active());
        mFailureCredit += isAffected ? mFaults.failShare() : 0;
        if (mFailureCredit < 1) {
            return false;
        }
        mFailureCredit -= 1;
        return true;
    }

    private void resume(Resume resume, List<EngineEffect> effects) {
        Optional<ResponseStream> found = mBatch.find(resume.attempt());
        if (found.isEmpty()) {
            effects.add(new SendFailure(resume.attempt(), STATUS_NOT_FOUND));
            return;
        }
        ResponseStream stream = found.get();
        stream.expireAt(Long.MAX_VALUE);
        for (int i = resume.afterPosition() + 1; i <= stream.sentTokens(); i++) {
            effects.add(stream.token(i));
        }
        if (stream.phase() == Phase.ENDED) {
            effects.add(stream.endEffect());
        }
    }

    private void order(Order order, long nowMilliseconds, List<EngineEffect> effects) {
        OrderOutcome outcome = mVersions.apply(order, nowMilliseconds);
        if (outcome == OrderOutcome.ACCEPTED && order.kind() == OrderKind.UNLOAD_VERSION) {
            mEvents.addRemoved(
                    nowMilliseconds, mIncarnation, mCache.removeVersion(order.version()));
        }
        effects.add(new RespondToOrder(outcome, mVersions.lastFencingNumber()));
    }

    private void changeFaults(
            EngineFaults faults, long nowMilliseconds, List<EngineEffect> effects) {
        boolean crashes = faults.crashed() && !mFaults.crashed();
        mFaults = faults;
        if (crashes) {
            mIncarnation++;
            mCache.clear();
            mEvents.restart();
            mEvents.add(nowMilliseconds, mIncarnation, CacheEventKind.CLEARED, "", List.of());
            mBatch.clear()
                    .forEach(stream -> effects.add(new DropConnection(stream.request().attempt())));
        }
    }

    private void advance(long nowMilliseconds, List<EngineEffect> effects) {
        mBatch.removeExpired(nowMilliseconds);
        boolean promptFinished;
        do {
            Optional<ResponseStream> finished = finishedPrompt(nowMilliseconds);
            finished.ifPresent(stream -> storePrompt(stream, nowMilliseconds));
            mBatch.streamsIn(Phase.RESPONDING)
                    .forEach(stream -> sendTokens(stream, nowMilliseconds, effects));
            mBatch.next().ifPresent(stream -> startPrompt(stream, nowMilliseconds));
            promptFinished = finishedPrompt(nowMilliseconds).isPresent();
        } while (promptFinished);
        mEvents.release(nowMilliseconds, mFaults.eventGapEvery())
                .forEach(event -> effects.add(new SendEvent(event)));
    }

    private Optional<ResponseStream> finishedPrompt(long nowMilliseconds) {
        return mBatch.computing()
                .filter(stream -> stream.nextEventMilliseconds() <= nowMilliseconds);
    }

    private void startPrompt(ResponseStream stream, long nowMilliseconds) {
        EngineRequest request = stream.request();
        int matchedBlocks =
                mCache.match(request.scope(), stream.version(), request.prompt().hashes());
        int cachedTokens = matchedBlocks * PromptBlocks.BLOCK_TOKENS;
        int uncachedTokens = request.prompt().promptTokens() - cachedTokens;
        double computeMilliseconds =
                uncachedTokens * mFaults.slowFactor() / mOptions.promptTokensPerMillisecond();
        stream.computePrompt(cachedTokens, nowMilliseconds + (long) Math.ceil(computeMilliseconds));
    }

    private void storePrompt(ResponseStream stream, long nowMilliseconds) {
        EngineRequest request = stream.request();
        List<Long> added =
                mCache.store(request.scope(), stream.version(), request.prompt().hashes());
        if (!added.isEmpty()) {
            mEvents.add(
                    nowMilliseconds, mIncarnation, CacheEventKind.STORED, request.scope(), added);
        }
        mEvents.addRemoved(nowMilliseconds, mIncarnation, mCache.evict());
        stream.startResponse();
    }

    private void sendTokens(
            ResponseStream stream, long nowMilliseconds, List<EngineEffect> effects) {
        long tokenMilliseconds =
                Math.round(mOptions.answerTokenMilliseconds() * mFaults.slowFactor());
        while (!stream.isComplete() && stream.nextEventMilliseconds() <= nowMilliseconds) {
            effects.add(stream.nextToken(tokenMilliseconds));
            if (stream.shouldDrop(mFaults.dropAfterTokens())) {
                effects.add(new DropConnection(stream.request().attempt()));
            }
        }
        if (stream.isComplete()) {
            mBatch.end(stream);
            effects.add(stream.endEffect());
        }
    }

    private LoadReport currentReport(long nowMilliseconds) {
        List<ResponseStream> waiting = mBatch.streamsIn(Phase.WAITING);
        long queuedPromptTokens =
                waiting.stream().mapToLong(s -> s.request().prompt().promptTokens()).sum();
        return new LoadReport(
                mIncarnation,
                mBatch.running(),
                waiting.size(),
                queuedPromptTokens,
                mCache.blocks(),
                mVersions.loaded(nowMilliseconds),
                mFaults.leaving());
    }

    private OptionalLong nextWakeTime(long nowMilliseconds) {
        return LongStream.of(
                        mBatch.nextEventMilliseconds().orElse(Long.MAX_VALUE),
                        mEvents.nextDueMilliseconds().orElse(Long.MAX_VALUE),
                        mVersions.nextReadyMilliseconds(nowMilliseconds).orElse(Long.MAX_VALUE))
                .filter(at -> at < Long.MAX_VALUE)
                .map(at -> Math.max(at, nowMilliseconds + 1))
                .min();
    }
}
