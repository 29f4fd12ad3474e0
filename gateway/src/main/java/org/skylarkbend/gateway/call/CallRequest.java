package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.endpoints.Prompt;
import org.skylarkbend.quarantine.PromptPart;

/**
 * Call that was admitted.
 *
 * @param id ID that the caller gave to this attempt
 * @param method HTTP method
 * @param uri path and query
 * @param host host that the caller requested
 * @param headers headers that are forwarded to the endpoint; not modified after construction
 * @param route route of the call
 * @param service service selected by the route
 * @param customer customer that made the call; empty on routes that need no key
 * @param prompt description of the prompt, if the call has one
 * @param arrivedMilliseconds time of arrival
 * @param callerTimeoutMilliseconds time after arrival at which the caller gives up
 * @param catalogNumber number of the catalog under which the call was admitted
 */
public record CallRequest(
        String id,
        HttpMethod method,
        String uri,
        String host,
        MultiMap headers,
        Route route,
        String service,
        Optional<Customer> customer,
        Optional<Prompt> prompt,
        long arrivedMilliseconds,
        long callerTimeoutMilliseconds,
        long catalogNumber) {
    /** Returns the time by which the caller must have a response. */
    public long deadlineMilliseconds() {
        return arrivedMilliseconds
                + Math.min(callerTimeoutMilliseconds, route.timeoutMilliseconds());
    }

    /** Returns the priority of the customer, or else that of the route; 0 is the highest. */
    public int priority() {
        return customer.map(Customer::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    /** Returns whether the response is a stream of events. */
    public boolean isStream() {
        return route.kind() == CallKind.STREAM;
    }

    /** Returns the parts of the prompt that other calls may share; none without a prompt. */
    public List<PromptPart> sharedParts() {
        return prompt.map(Prompt::sharedParts).orElse(List.of());
    }

    /** Returns the number of units that the call uses of its customer's rate limit. */
    public long units() {
        long defaultUnits = customer.map(Customer::defaultUnitsPerCall).orElse(0L);
        return prompt.filter(Prompt::isUsageKnown)
                .map(p -> p.promptTokens() + p.maxAnswerTokens())
                .orElse(defaultUnits);
    }
}
