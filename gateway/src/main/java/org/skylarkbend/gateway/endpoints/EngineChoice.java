package org.skylarkbend.gateway.endpoints;

import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.catalog.Endpoint;

/**
 * Where a call goes.
 *
 * @param endpoint the endpoint
 * @param weights the version of the model's weights that it has, if it is an engine
 * @param cacheSource the address of a store, or of an engine with the same weights, that may hold
 *     the shared parts of the prompt
 * @param store the address of the store that keeps what the engine reads
 * @param tokensToRead the tokens of the prompt that the engine will probably have to read
 * @param tokensAhead the tokens of other prompts that it has to read before
 */
public record EngineChoice(
        Endpoint endpoint,
        OptionalLong weights,
        Optional<String> cacheSource,
        Optional<String> store,
        long tokensToRead,
        long tokensAhead) {
    /** A choice of an endpoint that is no engine. */
    static EngineChoice plain(Endpoint endpoint) {
        return new EngineChoice(
                endpoint, OptionalLong.empty(), Optional.empty(), Optional.empty(), 0, 0);
    }
}
