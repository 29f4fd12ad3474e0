package org.skylarkbend.gateway.endpoints;

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
     * Home engine of a prompt.
     *
     * @param keyHash hash of the prompt's shared parts
     * @param engine engine with the highest rendezvous score for it
     */
    record Home(long keyHash, EndpointLoad engine) {}

    /** Sets the engines that load weights, which are no homes meanwhile. */
    void loadingChanged(Set<String> incarnations) {
        mLoadingWeights = incarnations;
    }

    /** Returns whether an engine loads weights. */
    boolean isLoadingWeights(EndpointLoad load) {
        return mLoadingWeights.contains(load.incarnation());
    }

    /** Returns the home of a prompt; empty if it shares no parts or no candidate serves it. */
    Optional<Home> homeOf(List<EndpointLoad> candidates, Prompt prompt, String scope) {
        String key = prompt.sharedKey();
        if (key.isEmpty()) {
            return Optional.empty();
        }
        long keyHash = (scope + key).hashCode() * 31L;
        return bestScored(candidates, prompt.model(), keyHash, load -> true)
                .map(engine -> new Home(keyHash, engine));
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
            Optional<Home> home) {
        if (home.isEmpty()) {
            return Optional.empty();
        }
        String model = prompt.model();
        return bestScored(
                        candidates,
                        model,
                        home.get().keyHash(),
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
