package org.skylarkbend.publishing;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;

/**
 * A route of a published set, which maps requests of callers to a pool of endpoints.
 *
 * @param name the unique name of the route; callers of an engine route pass it as the model
 * @param kind the kind of the endpoints that serve it
 * @param pathPrefix the URL path prefix of a plain service
 * @param pool the pool of endpoints that serves it
 * @param version the version of the endpoints that serves it
 * @param keyless true if it can be called without a key
 * @param idempotent true if a call may be retried after it was sent
 * @param priority the scheduling priority; 0 is the highest
 * @param deadlineMilliseconds the maximum time a call is queued before it is refused
 * @param customers the customers that may use it; empty means all
 */
public record Route(
        ObjectName name,
        EndpointKind kind,
        Optional<String> pathPrefix,
        ObjectName pool,
        ObjectName version,
        boolean keyless,
        boolean idempotent,
        int priority,
        long deadlineMilliseconds,
        List<ObjectName> customers) {}
