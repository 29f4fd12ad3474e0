package org.skylarkbend.router.forward;

import java.util.List;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.router.HttpHeader;

/** Messages from the forwarding task to the HTTP front about the response to a call. */
public sealed interface ResponseMessage {
    /** Returns the ID of the call. */
    String call();

    /** A complete, non-streamed response. */
    record Full(String call, int status, List<HttpHeader> headers, byte[] body)
            implements ResponseMessage {
        /** Copies the headers. The body is not copied and must not be modified afterwards. */
        public Full {
            headers = List.copyOf(headers);
        }
    }

    /** One encoded event of a streamed response. The first one starts the stream. */
    record Event(String call, byte[] event) implements ResponseMessage {}

    /** All events of the streamed response were sent. */
    record Complete(String call) implements ResponseMessage {}

    /** The call failed. A stream that has already started ends with this error. */
    record Failed(String call, SkylarkError error, long retryAfterMilliseconds)
            implements ResponseMessage {}
}
