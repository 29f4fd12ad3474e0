package org.skylarkbend.gateway.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates the cost that the weights of an engine add to a call, now and until its answer is
 * complete.
 *
 * <p>An engine whose weights are outdated will soon load newer ones, and finishes its running
 * answers first. Engines load one after another, the most outdated first, so every gateway can
 * derive which of them should get no more long answers. The state is confined to one task.
 */
final class WeightsOutlook {
    /**
     * Cost of an answer from old weights, in prompt tokens. Such an answer loses a fifth of its
     * value.
     */
    private static final double TOKENS_OF_OLDER_WEIGHTS = 3_000;

    /**
     * Cost of a millisecond in which an engine idles before it loads weights, in prompt tokens. The
     * engine could process 30 to 50 tokens in that time, if it had any.
     */
    private static final double TOKENS_OF_IDLE_MILLISECOND = 8;

    /**
     * Cost of a millisecond of idle time while no newer weights are announced but may be at any
     * time.
     */
    private static final double TOKENS_OF_IDLE_MILLISECOND_IN_ADVANCE = 1;

    /** Time per answer token at an engine that processes few prompts. */
    private static final long MILLISECONDS_OF_TOKEN = 12;

    /** Time in which all engines of a site load new weights. */
    private static final long ALL_LOADED_MILLISECONDS = 4_000;

    /** Longest time for which a call may wait in the queue of an engine. */
    private static final long QUEUE_MILLISECONDS = 1_500;

    /**
     * Time after the announcement of newer weights during which answers from old ones still have
     * their full value, as defined by the users' rules.
     */
    private static final long FULL_WORTH_MILLISECONDS = 1_300;

    private final long mWeightsLifeMilliseconds;
    private final Map<String, TreeMap<Long, Long>> mNamedMilliseconds = new HashMap<>();

    /**
     * Creates an estimate without announced versions.
     *
     * @param weightsLifeMilliseconds time for which new calls may still use old weights after newer
     *     ones were announced
     */
    WeightsOutlook(long weightsLifeMilliseconds) {
        mWeightsLifeMilliseconds = weightsLifeMilliseconds;
    }

    /** Records the newest announced version of the weights of each model. */
    void name(Map<String, Long> versions, long nowMilliseconds) {
        versions.forEach(
                (model, version) ->
                        mNamedMilliseconds
                                .computeIfAbsent(model, name -> new TreeMap<>())
                                .putIfAbsent(version, nowMilliseconds));
    }

    /**
     * Returns the position of each engine in the order in which the engines of a model load newer
     * weights.
     */
    Map<EndpointLoad, Integer> turns(List<EndpointLoad> engines, String model) {
        List<EndpointLoad> ordered = new ArrayList<>(engines);
        ordered.sort(
                Comparator.comparingLong((EndpointLoad load) -> version(load, model))
                        .thenComparing(load -> load.endpoint().incarnation()));
        Map<EndpointLoad, Integer> turns = new HashMap<>();
        ordered.forEach(load -> turns.put(load, turns.size()));
        return turns;
    }

    /**
     * Returns the cost that the weights of an engine add to a prompt, in prompt tokens. It is
     * infinite if new calls may no longer use these weights.
     */
    double cost(
            EndpointLoad load,
            Map<EndpointLoad, Integer> turns,
            Prompt prompt,
            long nowMilliseconds) {
        long loadsInMilliseconds =
                ALL_LOADED_MILLISECONDS * turns.getOrDefault(load, 0) / Math.max(1, turns.size());
        long answerMilliseconds = prompt.maxAnswerTokens() * MILLISECONDS_OF_TOKEN;
        long idleMilliseconds = Math.max(0, answerMilliseconds - loadsInMilliseconds);
        TreeMap<Long, Long> named = mNamedMilliseconds.get(prompt.model());
        long version = version(load, prompt.model());
        if (named == null || named.higherEntry(version) == null) {
            return idleMilliseconds * TOKENS_OF_IDLE_MILLISECOND_IN_ADVANCE;
        }
        long ageMilliseconds = nowMilliseconds - named.higherEntry(version).getValue();
        return idleMilliseconds * TOKENS_OF_IDLE_MILLISECOND + tokensOfAge(ageMilliseconds);
    }

    private double tokensOfAge(long ageMilliseconds) {
        if (ageMilliseconds > mWeightsLifeMilliseconds) {
            return Double.POSITIVE_INFINITY;
        }
        boolean isNearEnd = ageMilliseconds > mWeightsLifeMilliseconds - QUEUE_MILLISECONDS;
        return (ageMilliseconds > FULL_WORTH_MILLISECONDS ? TOKENS_OF_OLDER_WEIGHTS : 0)
                + (isNearEnd ? EndpointBoard.LAST_RESORT / 2 : 0);
    }

    private static long version(EndpointLoad load, String model) {
        return load.endpoint().weights().getOrDefault(model, Long.MAX_VALUE);
    }
}
