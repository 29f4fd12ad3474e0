package org.skylarkbend.publishing;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;

/**
 * Maps requests of callers to a pool of endpoints.
 *
 * @param name the unique name of the route; callers of an engine route pass it as the model
 * @param kind whether engines or plain services serve it
 * @param pathPrefix the URL path prefix of a plain service
 * @param pool the pool of endpoints that serves it
 * @param version the version of the endpoints that serves it
 * @param open whether it can be called without a key
 * @param idempotent whether a call may be retried after it was sent
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
        boolean open,
        boolean idempotent,
        int priority,
        long deadlineMilliseconds,
        List<ObjectName> customers) {}
