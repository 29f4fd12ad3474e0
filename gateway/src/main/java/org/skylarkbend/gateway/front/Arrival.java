package org.skylarkbend.gateway.front;

import io.vertx.core.http.HttpServerRequest;
import org.skylarkbend.wire.HeldBytes;

/**
 * Request that has arrived completely.
 *
 * @param request the request
 * @param body its body
 * @param milliseconds the time at which it began to arrive
 * @param decision the decision on its head
 */
record Arrival(
        HttpServerRequest request,
        HeldBytes body,
        long milliseconds,
        Admissions.Decision decision) {}
