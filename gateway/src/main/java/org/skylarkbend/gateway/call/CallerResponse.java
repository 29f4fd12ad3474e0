package org.skylarkbend.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.skylarkbend.base.ErrorKind;

/** Response to a caller, independent of the protocol of its connection. */
public interface CallerResponse {
    /**
     * Sends the complete response of an endpoint. The future completes when the caller has got it,
     * or never will.
     */
    Future<Void> complete(int httpStatus, MultiMap headers, Buffer body);

    /** Starts a streamed response. */
    void beginStream(int httpStatus, MultiMap headers);

    /** Sends complete events. */
    void events(Buffer events);

    /** Returns whether the caller has not read enough of the events yet to be sent more. */
    boolean isCongested();

    /** Sets what runs, once, when the caller has read enough to be sent more events. */
    void onDrained(Runnable handler);

    /** Ends a stream that is complete. */
    void endStream();

    /**
     * Closes the connection in the middle of a stream, so that the caller can tell that it is
     * incomplete.
     */
    void abortStream();

    /** Sends an error response. */
    void failure(ErrorKind kind, String detail, long retryAfterMilliseconds);
}
