package org.skylarkbend.forwarding;

import org.skylarkbend.base.SkylarkError;

/** An action that {@link StreamDecider} requests for a stream. */
public sealed interface StreamEffect {
    /** Deliver the received event to the caller. */
    record DeliverEvent(long position) implements StreamEffect {}

    /** Request the events after a position from the same endpoint over a new connection. */
    record Resume(AttemptId attempt, long afterPosition) implements StreamEffect {}

    /** Start a new attempt. */
    record StartNewAttempt(AttemptId attempt, String cause) implements StreamEffect {}

    /** Complete the response. */
    record CompleteResponse(AttemptId attempt) implements StreamEffect {}

    /** End the stream with an error. */
    record Fail(AttemptId attempt, SkylarkError error) implements StreamEffect {}
}
