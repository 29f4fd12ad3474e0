package org.skylarkbend.standin.engine;

import java.util.List;

/** An action that an engine takes. */
public sealed interface EngineEffect {
    /** Send one token of a response. Positions start at 1. */
    record SendToken(String attempt, int position, String text) implements EngineEffect {}

    /** Send the end of a response. */
    record SendEnd(
            String attempt, String version, int promptTokens, int cachedTokens, int answerTokens)
            implements EngineEffect {}

    /** Respond with an error status. */
    record SendFailure(String attempt, int httpStatus) implements EngineEffect {}

    /** Close the connection of a response before its end. */
    record DropConnection(String attempt) implements EngineEffect {}

    /** Respond to a request with an empty body, as a crashed engine does. */
    record SendEmpty(String attempt) implements EngineEffect {}

    /** Send a cache event to all listeners. */
    record SendEvent(CacheEvent event) implements EngineEffect {}

    /** Respond to an order. */
    record RespondToOrder(OrderOutcome outcome, long lastFencingNumber) implements EngineEffect {}

    /** Send a {@link EngineMessage.Wake} message at this time. */
    record WakeAt(long atMilliseconds) implements EngineEffect {}

    /** The outcome of an order. */
    enum OrderOutcome {
        /** The order was accepted. */
        ACCEPTED,
        /** The fencing number is lower than one received before. */
        OLD_FENCING_NUMBER,
        /** The version is not loaded. */
        NOT_LOADED
    }

    /**
     * A change of the prefix cache.
     *
     * @param incarnation the incarnation of the engine in which the change happened
     * @param sequence the sequence number, which starts at 1 and increases by 1; a gap means that
     *     an event was lost
     * @param kind the kind of change
     * @param scope the cache scope of the blocks
     * @param blocks the hashes of the blocks
     */
    record CacheEvent(
            long incarnation, long sequence, CacheEventKind kind, String scope, List<Long> blocks) {
        /** Copies the list of blocks. */
        public CacheEvent {
            blocks = List.copyOf(blocks);
        }
    }

    /** The kind of a cache change. */
    enum CacheEventKind {
        /** The blocks were added to the cache. */
        STORED,
        /** The blocks were removed from the cache. */
        REMOVED,
        /** All blocks of all scopes were removed. */
        CLEARED
    }
}
