package org.skylarkbend.forwarding;

import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.SkylarkError;

/** An action that {@link AttemptDecider} requests for a call. */
public sealed interface AttemptEffect {
    /** Request an endpoint from placement that is not among the tried ones. */
    record ChooseEndpoint(Set<ObjectName> tried) implements AttemptEffect {
        /** Copies the set of tried endpoints. */
        public ChooseEndpoint {
            tried = Set.copyOf(tried);
        }
    }

    /** Send the call to the endpoint. */
    record Send(AttemptId attempt, ObjectName endpoint, boolean onNewConnection)
            implements AttemptEffect {}

    /** Read the response body. */
    record ReadBody(AttemptId attempt) implements AttemptEffect {}

    /** Deliver the complete response to the caller. */
    record Deliver(AttemptId attempt) implements AttemptEffect {}

    /** Close the connection of the attempt, so that no more data is read from it. */
    record Abandon(AttemptId attempt) implements AttemptEffect {}

    /** Tell the endpoint to cancel the attempt. */
    record Cancel(AttemptId attempt, ObjectName endpoint) implements AttemptEffect {}

    /** Report the failure of the call to the caller. */
    record Fail(SkylarkError error) implements AttemptEffect {}
}
