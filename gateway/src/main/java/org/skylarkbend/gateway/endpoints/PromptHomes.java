package org.skylarkbend.gateway.endpoints;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Determines the home engines of prompts by rendezvous hashing of their shared parts, alike at all
 * gateways. Confined to one task.
 */
final class PromptHomes {
    private Set<String> mLoadingWeights = Set.of();

    /**
     * Home engines of a prompt.
     *
     * @param keyHash hash of the prompt's shared parts
     * @param engines engines with the highest rendezvous scores for it, the highest first; none if
     *     the prompt shares no parts or no candidate serves it
     */
    record Homes(long keyHash, Set<EndpointLoad> engines) {
        boolean contains(EndpointLoad engine) {
            return engines.contains(engine);
        }
    }

    /** Sets the engines that load weights, which are no homes meanwhile. */
    void loadingChanged(Set<String> incarnations) {
        mLoadingWeights = incarnations;
    }

    /** Returns whether an engine loads weights. */
    boolean isLoadingWeights(EndpointLoad load) {
        return mLoadingWeights.contains(load.incarnation());
    }

    /** Returns the hash of a prompt's shared parts within a scope. */
    static long keyHash(Prompt prompt, String scope) {
        return (scope + prompt.sharedKey()).hashCode() * 31L;
    }

    /** Returns the homes of a prompt, at most the given number. */
    Homes homesOf(List<EndpointLoad> candidates, Prompt prompt, String scope, int count) {
        long keyHash = keyHash(prompt, scope);
        Set<EndpointLoad> homes = new LinkedHashSet<>();
        boolean mayHaveMore = !prompt.sharedKey().isEmpty();
        while (mayHaveMore && homes.size() < count) {
            Optional<EndpointLoad> next =
                    bestScored(candidates, prompt.model(), keyHash, load -> !homes.contains(load));
            next.ifPresent(homes::add);
            mayHaveMore = next.isPresent();
        }
        return new Homes(keyHash, homes);
    }

    /**
     * Returns the address of the next home with the same weights as an engine, which may hold the
     * shared parts of the prompt.
     */
    Optional<String> sourceOf(
            EndpointLoad load,
            List<EndpointLoad> candidates,
            Long version,
            Prompt prompt,
            Homes homes) {
        if (homes.engines().isEmpty()) {
            return Optional.empty();
        }
        String model = prompt.model();
        return bestScored(
                        candidates,
                        model,
                        homes.keyHash(),
                        other ->
                                other != load
                                        && version.equals(other.endpoint().weights().get(model)))
                .map(other -> other.endpoint().address());
    }

    /** Returns whether an endpoint serves a model. */
    static boolean serves(EndpointLoad load, String model) {
        Map<String, Long> weights = load.endpoint().weights();
        return weights.isEmpty() || model.isEmpty() || weights.containsKey(model);
    }

    /**
     * Returns the engine with the highest rendezvous score for a key among those that match.
     * Engines that load weights or are unreachable are left out, so that all gateways use the same
     * substitute meanwhile.
     */
    private Optional<EndpointLoad> bestScored(
            List<EndpointLoad> candidates,
            String model,
            long keyHash,
            Predicate<EndpointLoad> matches) {
        EndpointLoad best = null;
        long bestScore = Long.MIN_VALUE;
        for (EndpointLoad load : candidates) {
            long score = mix(keyHash + load.incarnation().hashCode());
            if (score > bestScore
                    && serves(load, model)
                    && !load.isUnreachable()
                    && !isLoadingWeights(load)
                    && matches.test(load)) {
                best = load;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
