package org.skylarkbend.forwarding;

import org.skylarkbend.publishing.EndpointKind;

/**
 * Properties of a call that determine how a failed attempt is handled.
 *
 * @param kind the kind of endpoint that serves the call
 * @param idempotent true if the call may run more than once
 */
public record CallTraits(EndpointKind kind, boolean idempotent) {
    /**
     * Returns whether an empty response body is a failure: an engine that crashes can return one.
     */
    public boolean isEmptyBodyFailure() {
        return kind == EndpointKind.ENGINE;
    }

    /** Returns whether the endpoint accepts requests to cancel an attempt. */
    public boolean cancellable() {
        return kind == EndpointKind.ENGINE;
    }
}
