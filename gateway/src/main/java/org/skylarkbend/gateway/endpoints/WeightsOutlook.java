package org.skylarkbend.gateway.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the weights of an engine cost a prompt, now and while its answer is made.
 *
 * <p>An engine whose weights are older than the newest ones will load soon, and lets its answers
 * finish first. Engines load in turn, the most outdated first, so that every gateway knows alike
 * which of them should take no long answers any more. The state belongs to one task.
 */
final class WeightsOutlook {
    /** What an answer by older weights loses, a fifth of its worth, as tokens to read. */
    private static final double TOKENS_OF_OLDER_WEIGHTS = 3_000;

    /** An engine that idles for a millisecond could have read 30 to 50 tokens, if it had any. */
    private static final double TOKENS_OF_IDLE_MILLISECOND = 8;

    /** The same while no newer weights are named, but may be. */
    private static final double TOKENS_OF_IDLE_MILLISECOND_IN_ADVANCE = 1;

    /** How long one token of an answer takes at an engine that reads few prompts. */
    private static final long MILLISECONDS_OF_TOKEN = 12;

    /** All engines of a site load within so long. */
    private static final long ALL_LOADED_MILLISECONDS = 4_000;

    /** A call may wait so long in an engine's queue before it begins. */
    private static final long QUEUE_MILLISECONDS = 1_500;

    /** How long after newer weights were named older ones still earn all (users' rules). */
    private static final long FULL_WORTH_MILLISECONDS = 1_300;

    private final long mWeightsLifeMilliseconds;
    private final Map<String, TreeMap<Long, Long>> mNamedMilliseconds = new HashMap<>();

    /**
     * An outlook that knows of no newer weights.
     *
     * @param weightsLifeMilliseconds how long calls may begin on weights after newer ones were
     *     named
     */
    WeightsOutlook(long weightsLifeMilliseconds) {
        mWeightsLifeMilliseconds = weightsLifeMilliseconds;
    }

    /** Takes the newest versions of weights. */
    void name(Map<String, Long> versions, long nowMilliseconds) {
        versions.forEach(
                (model, version) ->
                        mNamedMilliseconds
                                .computeIfAbsent(model, name -> new TreeMap<>())
                                .putIfAbsent(version, nowMilliseconds));
    }

    /** The engines of a model in the order in which they load newer weights, each with its turn. */
    Map<EndpointLoad, Integer> turns(List<EndpointLoad> engines, String model) {
        List<EndpointLoad> ordered = new ArrayList<>(engines);
        ordered.sort(
                Comparator.comparingLong((EndpointLoad load) -> version(load, model))
                        .thenComparing(load -> load.endpoint().incarnation()));
        Map<EndpointLoad, Integer> turns = new HashMap<>();
        ordered.forEach(load -> turns.put(load, turns.size()));
        return turns;
    }

    /** What the weights of an engine cost a prompt, in tokens to read. */
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
