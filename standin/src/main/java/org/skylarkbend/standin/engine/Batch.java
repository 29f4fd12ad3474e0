package org.skylarkbend.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.standin.engine.ResponseStream.Phase;

/** The responses of an engine in order of arrival, and the most recent completed responses. */
final class Batch {
    private static final int MAX_COMPLETED_STREAMS = 1_000;

    private final int mSlots;
    private final Map<String, ResponseStream> mStreams = new LinkedHashMap<>();
    private final Map<String, ResponseStream> mCompleted = new LinkedHashMap<>();

    Batch(int slots) {
        mSlots = slots;
    }

    void add(ResponseStream stream) {
        mStreams.put(stream.request().attempt(), stream);
    }

    Optional<ResponseStream> find(String attempt) {
        ResponseStream active = mStreams.get(attempt);
        return Optional.ofNullable(active == null ? mCompleted.get(attempt) : active);
    }

    /** Marks a response as complete. A completed response can still be resumed. */
    void end(ResponseStream stream) {
        String attempt = stream.request().attempt();
        stream.end();
        mStreams.remove(attempt);
        mCompleted.put(attempt, stream);
        if (mCompleted.size() > MAX_COMPLETED_STREAMS) {
            mCompleted.remove(mCompleted.keySet().iterator().next());
        }
    }

    void remove(String attempt) {
        mStreams.remove(attempt);
        mCompleted.remove(attempt);
    }

    List<ResponseStream> clear() {
        List<ResponseStream> all = new ArrayList<>(mStreams.values());
        mStreams.clear();
        mCompleted.clear();
        return all;
    }

    List<ResponseStream> streamsIn(Phase phase) {
        return mStreams.values().stream().filter(stream -> stream.phase() == phase).toList();
    }

    /** Returns the response whose prompt is being computed. There is at most one. */
    Optional<ResponseStream> computing() {
        return streamsIn(Phase.COMPUTING_PROMPT).stream().findFirst();
    }

    int running() {
        return streamsIn(Phase.COMPUTING_PROMPT).size() + streamsIn(Phase.RESPONDING).size();
    }

    /**
     * Returns the next response to start: the one with the lowest priority number, and among those
     * the earliest. Returns empty while all slots are taken or a prompt is being computed.
     */
    Optional<ResponseStream> next() {
        if (running() >= mSlots || computing().isPresent()) {
            return Optional.empty();
        }
        return streamsIn(Phase.WAITING).stream()
                .min(java.util.Comparator.comparingInt(stream -> stream.request().priority()));
    }

    void removeExpired(long nowMilliseconds) {
        mStreams.values().removeIf(stream -> stream.expiryMilliseconds() <= nowMilliseconds);
    }

    OptionalLong nextEventMilliseconds() {
        return mStreams.values().stream()
                .mapToLong(Batch::nextEventOf)
                .filter(at -> at < Long.MAX_VALUE)
                .min();
    }

    private static long nextEventOf(ResponseStream stream) {
        boolean isWaiting = stream.phase() == Phase.WAITING;
        return Math.min(
                isWaiting ? Long.MAX_VALUE : stream.nextEventMilliseconds(),
                stream.expiryMilliseconds());
    }
}
