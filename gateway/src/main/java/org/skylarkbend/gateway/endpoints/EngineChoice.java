package org.skylarkbend.gateway.endpoints;

import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.catalog.Endpoint;

/**
 * Endpoint selected for an attempt, with the cache hints for an engine.
 *
 * @param endpoint selected endpoint
 * @param weights version of the weights that the engine has loaded; empty if the endpoint is no
 *     engine
 * @param cacheSource address of a store, or of an engine with the same weights, that may hold the
 *     shared parts of the prompt
 * @param store address of the store to which the engine saves the prompt parts it has processed
 * @param tokensToRead estimated number of prompt tokens that the engine has to process
 * @param tokensAhead number of tokens of other prompts that the engine has to process first
 * @param callsAhead number of calls that the engine is known to run or queue
 * @param isHome true if the engine is the home of the prompt's shared parts
 * @param firstEventMilliseconds expected time until the first event, if the speed of the engine is
 *     being learned
 */
public record EngineChoice(
        Endpoint endpoint,
        OptionalLong weights,
        Optional<String> cacheSource,
        Optional<String> store,
        long tokensToRead,
        long tokensAhead,
        long callsAhead,
        boolean isHome,
        OptionalLong firstEventMilliseconds) {
    /** Returns the choice of an endpoint without cache hints. */
    static EngineChoice plain(Endpoint endpoint) {
        return new EngineChoice(
                endpoint,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                0,
                false,
                OptionalLong.empty());
    }
}
