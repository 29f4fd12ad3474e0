package org.skylarkbend.router.forward;

import java.util.List;
import org.skylarkbend.forwarding.ResponseHead;
import org.skylarkbend.router.HttpHeader;

/** Events on the connection of one exchange with an endpoint. */
sealed interface ExchangeEvent {
    /** The connection could not be opened, so no byte was sent. */
    record NotConnected(String cause) implements ExchangeEvent {}

    /** The request is about to be written to the connection. */
    record Sending() implements ExchangeEvent {}

    /**
     * The status and headers of the response were received.
     *
     * @param head the parts of the response head that the attempt decider needs
     * @param isEventStream true if the body is a stream of server-sent events
     * @param isFramed true if the end of the body can be distinguished from a broken connection
     * @param headers the headers to be forwarded to the caller
     */
    record HeadReceived(
            ResponseHead head, boolean isEventStream, boolean isFramed, List<HttpHeader> headers)
            implements ExchangeEvent {}

    /** A part of the body was received. */
    record ChunkReceived(byte[] chunk) implements ExchangeEvent {}

    /** The body ended. */
    record Ended() implements ExchangeEvent {}

    /** The connection failed or sent invalid data before the end of the body. */
    record Lost(String cause) implements ExchangeEvent {}
}
