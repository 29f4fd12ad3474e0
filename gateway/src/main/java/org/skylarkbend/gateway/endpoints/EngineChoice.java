package org.skylarkbend.gateway.endpoints;

import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.catalog.Endpoint;

/**
 * Where a call goes.
 *
 * @param endpoint the endpoint
 * @param weights the version of the model's weights that it has, if it is an engine
 * @param cacheSource an engine with the same weights that may hold the shared parts of the prompt
 */
public record EngineChoice(
        Endpoint endpoint, OptionalLong weights, Optional<Endpoint> cacheSource) {
    /** A choice of an endpoint that is no engine. */
    static EngineChoice plain(Endpoint endpoint) {
        return new EngineChoice(endpoint, OptionalLong.empty(), Optional.empty());
    }
}
