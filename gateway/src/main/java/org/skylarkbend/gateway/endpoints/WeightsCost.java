package org.skylarkbend.gateway.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates the cost that the weights of an engine add to a call, now and until its response is
 * complete.
 *
 * <p>An engine whose weights are outdated will soon load newer ones, and finishes its running
 * responses first. Engines load one after another, the most outdated first, so every gateway can
 * derive which of them should get no more long responses. The state is confined to one task.
 */
final class WeightsCost {
    /**
     * Cost of a response from old weights, in prompt tokens. Such a response loses a fifth of its
     * value.
     */
    private static final double OLD_WEIGHTS_COST_TOKENS = 3_000;

    /**
     * Cost of a millisecond in which an engine idles before it loads weights, in prompt tokens. It
     * is below the 30 to 50 tokens that an engine can process in that time, because an engine does
     * not always have prompts to process.
     */
    private static final double IDLE_MILLISECOND_COST_TOKENS = 8;

    /**
     * Cost of a millisecond of idle time while no newer weights are announced but may be at any
     * time.
     */
    private static final double POSSIBLE_IDLE_MILLISECOND_COST_TOKENS = 1;

    /** Time per answer token at an engine that processes few prompts. */
    private static final long ANSWER_TOKEN_MILLISECONDS = 12;

    /** Time in which all engines of a site load new weights. */
    private static final long ALL_ENGINES_LOAD_MILLISECONDS = 4_000;

    /** Longest time for which a call may wait in the queue of an engine. */
    private static final long MAX_QUEUE_MILLISECONDS = 1_500;

    /**
     * Time after the announcement of newer weights during which responses from old ones keep their
     * full value.
     */
    private static final long FULL_VALUE_MILLISECONDS = 1_300;

    private final long mOldWeightsGraceMilliseconds;
    private final Map<String, TreeMap<Long, Long>> mAnnouncedMilliseconds = new HashMap<>();

    /**
     * Creates an estimate without announced versions.
     *
     * @param oldWeightsGraceMilliseconds time for which new calls may still use old weights after
     *     newer ones were announced
     */
    WeightsCost(long oldWeightsGraceMilliseconds) {
        mOldWeightsGraceMilliseconds = oldWeightsGraceMilliseconds;
    }

    /** Records the newest announced version of the weights of each model. */
    void weightsAnnounced(Map<String, Long> versions, long nowMilliseconds) {
        versions.forEach(
                (model, version) ->
                        mAnnouncedMilliseconds
                                .computeIfAbsent(model, name -> new TreeMap<>())
                                .putIfAbsent(version, nowMilliseconds));
    }

    /**
     * Returns the position of each engine in the order in which the engines of a model load newer
     * weights.
     */
    Map<EndpointLoad, Integer> weightsLoadOrder(List<EndpointLoad> engines, String model) {
        List<EndpointLoad> ordered = new ArrayList<>(engines);
        ordered.sort(
                Comparator.comparingLong((EndpointLoad load) -> version(load, model))
                        .thenComparing(EndpointLoad::incarnation));
        Map<EndpointLoad, Integer> weightsLoadOrder = new HashMap<>();
        ordered.forEach(load -> weightsLoadOrder.put(load, weightsLoadOrder.size()));
        return weightsLoadOrder;
    }

    /**
     * Returns the cost that the weights of an engine add to a prompt, in prompt tokens. It is
     * infinite if new calls may no longer use these weights.
     */
    double cost(
            EndpointLoad load,
            Map<EndpointLoad, Integer> weightsLoadOrder,
            Prompt prompt,
            long nowMilliseconds) {
        long loadsAfterMilliseconds =
                ALL_ENGINES_LOAD_MILLISECONDS
                        * weightsLoadOrder.getOrDefault(load, 0)
                        / Math.max(1, weightsLoadOrder.size());
        long answerMilliseconds = prompt.maxAnswerTokens() * ANSWER_TOKEN_MILLISECONDS;
        long idleMilliseconds = Math.max(0, answerMilliseconds - loadsAfterMilliseconds);
        TreeMap<Long, Long> announced = mAnnouncedMilliseconds.get(prompt.model());
        long version = version(load, prompt.model());
        if (announced == null || announced.higherEntry(version) == null) {
            return idleMilliseconds * POSSIBLE_IDLE_MILLISECOND_COST_TOKENS;
        }
        long ageMilliseconds = nowMilliseconds - announced.higherEntry(version).getValue();
        return idleMilliseconds * IDLE_MILLISECOND_COST_TOKENS + ageCost(ageMilliseconds);
    }

    private double ageCost(long ageMilliseconds) {
        if (ageMilliseconds > mOldWeightsGraceMilliseconds) {
            return Double.POSITIVE_INFINITY;
        }
        boolean isNearEnd = ageMilliseconds > mOldWeightsGraceMilliseconds - MAX_QUEUE_MILLISECONDS;
        return (ageMilliseconds > FULL_VALUE_MILLISECONDS ? OLD_WEIGHTS_COST_TOKENS : 0)
                + (isNearEnd ? EndpointSelector.LAST_RESORT_COST / 2 : 0);
    }

    private static long version(EndpointLoad load, String model) {
        return load.endpoint().weights().getOrDefault(model, Long.MAX_VALUE);
    }
}
