package org.skylarkbend.router;

import io.opentelemetry.context.Context;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.access.AccessGrant;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.forwarding.CallTraits;

/**
 * A caller's request that was granted access to a route. It does not contain the caller's key.
 *
 * @param id the ID, unique across all routers and their incarnations
 * @param grant the route and the customer
 * @param method the HTTP method
 * @param uri the path and query to be forwarded to the endpoint
 * @param headers the headers to be forwarded to the endpoint
 * @param body the body
 * @param chat the decoded body of a call to an engine
 * @param idempotencyKey the caller's idempotency key, if any
 * @param trace the trace context of the call
 * @param arrivedMilliseconds the arrival time on the monotonic clock
 */
public record Call(
        String id,
        AccessGrant grant,
        String method,
        String uri,
        List<HttpHeader> headers,
        byte[] body,
        Optional<ChatCall> chat,
        Optional<String> idempotencyKey,
        Context trace,
        long arrivedMilliseconds) {
    /** Copies the headers. The body is not copied and must not be modified afterwards. */
    public Call {
        headers = List.copyOf(headers);
    }

    /** Returns the traits that determine how a failed attempt is handled. */
    public CallTraits traits() {
        return new CallTraits(grant.route().kind(), grant.route().idempotent());
    }

    /** Returns the name of the customer; empty for a call without a key. */
    public Optional<ObjectName> customerName() {
        return grant.customer().map(customer -> customer.name());
    }

    /** Returns the weight in fair queueing: that of the customer, or 1 without one. */
    public int weight() {
        return grant.customer().map(customer -> customer.weight()).orElse(1);
    }
}
