package org.skylarkbend.orders.weights;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Load state of one engine as known to the commander.
 *
 * @param listed the versions listed by the platform
 * @param confirmed the versions reported by the engine itself
 * @param acceptedOrders the number of orders that it has accepted, if known
 * @param step the current step
 * @param nextAtMilliseconds the time of the next action
 * @param startedAtMilliseconds the time at which its load procedure started
 * @param missedReports the number of consecutive unanswered report requests
 */
record EngineLoad(
        Map<String, Long> listed,
        Map<String, Long> confirmed,
        OptionalLong acceptedOrders,
        Step step,
        long nextAtMilliseconds,
        long startedAtMilliseconds,
        int missedReports) {
    private static final int MAX_BACKOFF_DOUBLINGS = 2;

    /** Step of the load procedure of an engine. */
    enum Step {
        /** No load is in progress. */
        IDLE,
        /** The load procedure has started, and a report or the next poll is due. */
        CHECKING,
        /** A report request is in flight. */
        ASKED,
        /** An order is in flight. */
        ORDERED
    }

    static EngineLoad initial(Map<String, Long> listed) {
        return new EngineLoad(listed, Map.of(), OptionalLong.empty(), Step.IDLE, 0, 0, 0);
    }

    /** Returns the newest version of a model that the engine is known to have. */
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
                startedAtMilliseconds,
                missedReports);
    }

    EngineLoad reported(Map<String, Long> versions, long orders) {
        return new EngineLoad(
                listed,
                versions,
                OptionalLong.of(orders),
                Step.CHECKING,
                nextAtMilliseconds,
                startedAtMilliseconds,
                0);
    }

    EngineLoad at(Step next, long atMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                acceptedOrders,
                next,
                atMilliseconds,
                startedAtMilliseconds,
                missedReports);
    }

    /** Returns the state after the start of the load procedure. */
    EngineLoad started(long nowMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                acceptedOrders,
                Step.CHECKING,
                nowMilliseconds,
                nowMilliseconds,
                missedReports);
    }

    /**
     * Returns a state in which the number of accepted orders is unknown and must be requested
     * again.
     */
    EngineLoad withUnknownOrderCount(long requestAtMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                OptionalLong.empty(),
                Step.CHECKING,
                requestAtMilliseconds,
                startedAtMilliseconds,
                missedReports);
    }

    /**
     * Returns the state after an unanswered report request. The delay until the next request grows
     * with each consecutive failure.
     */
    EngineLoad unreachable(long nowMilliseconds, long minDelayMilliseconds) {
        return new EngineLoad(
                listed,
                confirmed,
                OptionalLong.empty(),
                Step.IDLE,
                nowMilliseconds
                        + (minDelayMilliseconds << Math.min(missedReports, MAX_BACKOFF_DOUBLINGS)),
                startedAtMilliseconds,
                missedReports + 1);
    }

    /** Returns whether the load procedure is in progress and the engine responds. */
    boolean isLoading() {
        return step != Step.IDLE && missedReports == 0;
    }
}
