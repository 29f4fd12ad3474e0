package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.skylarkbend.base.ErrorKind;

/** The answer to a caller, whatever its connection is. */
public interface CallerAnswer {
    /** Passes on a whole answer of an endpoint. */
    void whole(int httpStatus, MultiMap headers, Buffer body);

    /** Begins to pass on a stream. */
    void beginStream(int httpStatus, MultiMap headers);

    /** Passes on whole events. */
    void events(Buffer events);

    /** Ends a stream that is whole. */
    void endStream();

    /** Cuts a stream that is not whole, so that the caller sees it. */
    void cutStream();

    /** Says why there is no answer. */
    void failure(ErrorKind kind, String detail, long retryAfterMilliseconds);
}
