package org.skylarkbend.forwarding;

import org.skylarkbend.base.ObjectName;

/** An input message of {@link AttemptDecider} about the attempts of one call. */
public sealed interface AttemptMessage {
    /** The call has been admitted and may be sent. */
    record Admitted() implements AttemptMessage {}

    /** Placement has selected an endpoint. */
    record EndpointChosen(ObjectName endpoint) implements AttemptMessage {}

    /** No untried endpoint is left. */
    record NoEndpointLeft() implements AttemptMessage {}

    /** No connection could be established, so no byte of this attempt has been sent. */
    record NotConnected(AttemptId attempt, String cause) implements AttemptMessage {}

    /** The attempt is being sent; from now on its bytes may reach the endpoint. */
    record Sending(AttemptId attempt) implements AttemptMessage {}

    /** The head of a response has been received. */
    record HeadReceived(AttemptId attempt, ResponseHead head) implements AttemptMessage {}

    /** A complete response has been received. */
    record ResponseReceived(AttemptId attempt, long bodyBytes) implements AttemptMessage {}

    /** The connection was closed or sent invalid data, or the stream cannot be resumed. */
    record ConnectionLost(AttemptId attempt, String cause) implements AttemptMessage {}

    /** No data has been received within the silence timeout. */
    record SilenceTimedOut(AttemptId attempt) implements AttemptMessage {}

    /**
     * The call is cancelled: its caller disconnected, its key was withdrawn, or its deadline
     * expired.
     */
    record Cancelled() implements AttemptMessage {}
}
