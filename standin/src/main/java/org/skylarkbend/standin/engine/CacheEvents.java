package org.skylarkbend.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.skylarkbend.standin.engine.EngineEffect.CacheEvent;
import org.skylarkbend.standin.engine.EngineEffect.CacheEventKind;

/**
 * Assigns sequence numbers to cache events, delays them, and drops some of them if that fault is
 * active.
 */
final class CacheEvents {
    private static final int MAX_HISTORY_EVENTS = 20_000;

    /** An event and the time when it is due. */
    private record PendingEvent(long dueMilliseconds, CacheEvent event) {}

    private final long mDelayMilliseconds;
    private final Deque<PendingEvent> mPending = new ArrayDeque<>();
    private final Deque<CacheEvent> mHistory = new ArrayDeque<>();
    private long mLastSequence;

    CacheEvents(long delayMilliseconds) {
        mDelayMilliseconds = delayMilliseconds;
    }

    void add(
            long nowMilliseconds,
            long incarnation,
            CacheEventKind kind,
            String scope,
            List<Long> blocks) {
        mLastSequence++;
        CacheEvent event = new CacheEvent(incarnation, mLastSequence, kind, scope, blocks);
        mPending.add(new PendingEvent(nowMilliseconds + mDelayMilliseconds, event));
    }

    /** Adds the removal of blocks as one event per scope. */
    void addRemoved(long nowMilliseconds, long incarnation, List<PrefixCache.BlockKey> removed) {
        Map<String, List<Long>> hashesByScope = new LinkedHashMap<>();
        for (PrefixCache.BlockKey key : removed) {
            hashesByScope.computeIfAbsent(key.scope(), s -> new ArrayList<>()).add(key.hash());
        }
        hashesByScope.forEach(
                (scope, hashes) ->
                        add(nowMilliseconds, incarnation, CacheEventKind.REMOVED, scope, hashes));
    }

    /**
     * Starts a new incarnation of the engine: sequence numbers restart and the history is cleared.
     */
    void restart() {
        mPending.clear();
        mHistory.clear();
        mLastSequence = 0;
    }

    /** Returns the events that are due. Every {@code gapEvery}-th event is dropped. */
    List<CacheEvent> release(long nowMilliseconds, int gapEvery) {
        List<CacheEvent> released = new ArrayList<>();
        while (!mPending.isEmpty() && mPending.peek().dueMilliseconds() <= nowMilliseconds) {
            CacheEvent event = mPending.remove().event();
            if (gapEvery == 0 || event.sequence() % gapEvery != 0) {
                released.add(event);
                mHistory.add(event);
            }
        }
        while (mHistory.size() > MAX_HISTORY_EVENTS) {
            mHistory.remove();
        }
        return released;
    }

    /** Returns the released events after a sequence number, as far back as the history goes. */
    List<CacheEvent> after(long sequence) {
        return mHistory.stream().filter(event -> event.sequence() > sequence).toList();
    }

    OptionalLong nextDueMilliseconds() {
        return mPending.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mPending.peek().dueMilliseconds());
    }
}
