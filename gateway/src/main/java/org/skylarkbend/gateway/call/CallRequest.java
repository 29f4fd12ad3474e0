package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.endpoints.Prompt;

/**
 * An admitted call.
 *
 * @param id the caller's name for this try
 * @param method its method
 * @param uri its path and query
 * @param host the host that the caller asked for
 * @param headers the headers that go on to the endpoint; nobody changes them any more
 * @param body its body
 * @param route its route
 * @param service the service that the route chose for it
 * @param customer whose call it is; empty on open routes
 * @param prompt what it says of its prompt
 * @param arrivedMilliseconds when its head had arrived
 * @param callerWaitsMilliseconds how long the caller waits from then on
 * @param catalogNumber the catalog by which it was admitted
 */
public record CallRequest(
        String id,
        HttpMethod method,
        String uri,
        String host,
        MultiMap headers,
        Buffer body,
        Route route,
        String service,
        Optional<Customer> customer,
        Optional<Prompt> prompt,
        long arrivedMilliseconds,
        long callerWaitsMilliseconds,
        long catalogNumber) {
    /** When its caller must have an answer. */
    public long answerByMilliseconds() {
        return arrivedMilliseconds + Math.min(callerWaitsMilliseconds, route.timeoutMilliseconds());
    }

    /** What it counts against its customer's limit. */
    public long units() {
        long plain = customer.map(Customer::unitsOfPlainCall).orElse(0L);
        return prompt.map(p -> p.promptTokens() + p.maxAnswerTokens()).orElse(plain);
    }
}
