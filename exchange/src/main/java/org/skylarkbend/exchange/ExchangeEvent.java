package org.skylarkbend.exchange;

import io.vertx.core.buffer.Buffer;

/**
 * Progress of an exchange. Its last event is {@link NotConnected}, {@link Rejected}, {@link Ended}
 * or {@link Lost}, unless it is cancelled.
 */
public sealed interface ExchangeEvent {
    /**
     * There was no connection for the request; nothing was sent.
     *
     * @param cause description of the failure
     */
    record NotConnected(String cause) implements ExchangeEvent {}

    /**
     * The request cannot be encoded; nothing was sent, and the endpoint is not at fault.
     *
     * @param cause description of the failure
     */
    record Rejected(String cause) implements ExchangeEvent {}

    /** The request is being written to a connection. */
    record Sending() implements ExchangeEvent {}

    /** The request was written completely. */
    record Sent() implements ExchangeEvent {}

    /**
     * The head of the response has arrived.
     *
     * @param start status and headers
     */
    record HeadReceived(ResponseStart start) implements ExchangeEvent {}

    /**
     * A part of the body has arrived.
     *
     * @param chunk its bytes
     */
    record ChunkReceived(Buffer chunk) implements ExchangeEvent {}

    /** The response is complete. */
    record Ended() implements ExchangeEvent {}

    /**
     * The response cannot become complete. The endpoint may have run the request.
     *
     * @param cause description of the failure
     */
    record Lost(String cause) implements ExchangeEvent {}
}
