package org.skylarkbend.access;

import org.skylarkbend.publishing.EndpointKind;

/**
 * Effect of a withdrawn key on a call that was admitted with it.
 *
 * <p>A call that still waits is refused, because it has not run. The response of an engine is ended
 * with an error: a long response can go on using tokens of the customer for minutes, while a
 * withdrawn key must stop working within seconds. The response of a plain service is still
 * delivered: the call has already run, and hiding its outcome would lead the caller to submit it
 * again.
 */
public enum WithdrawalPolicy {
    /** Refuse the call, which has not run. */
    REFUSE_WAITING,
    /** End the response with an error and cancel the attempt. */
    END_RESPONSE,
    /** Deliver the response. */
    DELIVER_RESPONSE;

    /**
     * Returns the policy for a call.
     *
     * @param kind the kind of endpoint that serves the call
     * @param sent true if the call has been sent to an endpoint
     */
    public static WithdrawalPolicy of(EndpointKind kind, boolean sent) {
        if (!sent) {
            return REFUSE_WAITING;
        }
        return kind == EndpointKind.ENGINE ? END_RESPONSE : DELIVER_RESPONSE;
    }
}
