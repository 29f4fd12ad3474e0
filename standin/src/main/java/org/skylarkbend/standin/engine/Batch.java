package org.skylarkbend.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.standin.engine.AnswerStream.Phase;

/** The answers of an engine in order of arrival, and the most recent completed answers. */
final class Batch {
    private static final int MAX_COMPLETED_STREAMS = 1_000;

    private final int mSlots;
    private final Map<String, AnswerStream> mStreams = new LinkedHashMap<>();
    private final Map<String, AnswerStream> mCompleted = new LinkedHashMap<>();

    Batch(int slots) {
        mSlots = slots;
    }

    void add(AnswerStream stream) {
        mStreams.put(stream.request().attempt(), stream);
    }

    Optional<AnswerStream> find(String attempt) {
        AnswerStream active = mStreams.get(attempt);
        return Optional.ofNullable(active == null ? mCompleted.get(attempt) : active);
    }

    /** Marks an answer as complete. A completed answer can still be resumed. */
    void end(AnswerStream stream) {
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

    List<AnswerStream> clear() {
        List<AnswerStream> all = new ArrayList<>(mStreams.values());
        mStreams.clear();
        mCompleted.clear();
        return all;
    }

    List<AnswerStream> streamsIn(Phase phase) {
        return mStreams.values().stream().filter(stream -> stream.phase() == phase).toList();
    }

    /** Returns the answer whose prompt is being computed. There is at most one. */
    Optional<AnswerStream> computing() {
        return streamsIn(Phase.COMPUTING_PROMPT).stream().findFirst();
    }

    int running() {
        return streamsIn(Phase.COMPUTING_PROMPT).size() + streamsIn(Phase.ANSWERING).size();
    }

    /**
     * Returns the next answer to start: the one with the lowest priority number, and among those
     * the earliest. Returns empty while all slots are taken or a prompt is being computed.
     */
    Optional<AnswerStream> next() {
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

    private static long nextEventOf(AnswerStream stream) {
        boolean isWaiting = stream.phase() == Phase.WAITING;
        return Math.min(
                isWaiting ? Long.MAX_VALUE : stream.nextEventMilliseconds(),
                stream.expiryMilliseconds());
    }
}
