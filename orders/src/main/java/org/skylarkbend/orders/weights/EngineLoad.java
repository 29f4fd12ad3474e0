package org.skylarkbend.orders.weights;

import java.util.Map;
import java.util.OptionalLong;

/**
 * What the commander knows of one engine.
 *
 * @param listed the versions that the platform lists
 * @param confirmed the versions that the engine itself has reported
 * @param acceptedOrders how many orders it has accepted, if that is known
 * @param step what is under way
 * @param nextAtMilliseconds when to do the next thing
 * @param takenAtMilliseconds when its turn to load came
 * @param misses how many questions in a row it did not answer
 */
record EngineLoad(
        Map<String, Long> listed,
        Map<String, Long> confirmed,
        OptionalLong acceptedOrders,
        Step step,
        long nextAtMilliseconds,
        long takenAtMilliseconds,
        int misses) {
    private static final int MAX_DOUBLINGS = 2;

    /** What is under way with an engine. */
    enum Step {
        /** Nothing. */
        IDLE,
        /** It takes part, and its report or the next question is due. */
        CHECKING,
        /** It was asked for a report. */
        ASKED,
        /** An order was sent. */
        ORDERED
    }

    static EngineLoad met(Map<String, Long> listed) {
        return new EngineLoad(listed, Map.of(), OptionalLong.empty(), Step.IDLE, 0, 0, 0);
    }

    /** The newest version that it is known to have of a model. */
    long version(String model) {
        return Math.max(
                listed.getOrDefault(model, 0L), confirmed.getOrDefault(model, Long.MIN_VALUE));
    }

    EngineLoad listedAs(Map<String, Long> versions) {
        return new EngineLoad(
                versions,
                confirmed,
                acceptedOrders,
                step,
                nextAtMilliseconds,
                takenAtMilliseconds,
                misses);
    }

    EngineLoad reported(Map<String, Long> versions, long orders) {
        return new EngineLoad(
                listed,
                versions,
                OptionalLong.of(orders),
                Step.CHECKING,
                nextAtMilliseconds,
                takenAtMilliseconds,
                0);
    }

    EngineLoad at(Step next, long atMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                acceptedOrders,
                next,
                atMilliseconds,
                takenAtMilliseconds,
                misses);
    }

    /** Its turn to load has come. */
    EngineLoad taken(long nowMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                acceptedOrders,
                Step.CHECKING,
                nowMilliseconds,
                nowMilliseconds,
                misses);
    }

    /** Its count of orders must be asked for again. */
    EngineLoad uncounted(long askAtMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                OptionalLong.empty(),
                Step.CHECKING,
                askAtMilliseconds,
                takenAtMilliseconds,
                misses);
    }

    /** It did not answer: it is asked again later, longer after each question in a row. */
    EngineLoad unreached(long nowMilliseconds, long pauseMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                OptionalLong.empty(),
                Step.IDLE,
                nowMilliseconds + (pauseMilliseconds << Math.min(misses, MAX_DOUBLINGS)),
                takenAtMilliseconds,
                misses + 1);
    }

    /** Whether something is under way with it, and it answers. */
    boolean isLoading() {
        return step != Step.IDLE && misses == 0;
    }
}
