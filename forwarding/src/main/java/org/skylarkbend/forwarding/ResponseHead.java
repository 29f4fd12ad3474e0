package org.skylarkbend.forwarding;

import java.util.Optional;
import org.skylarkbend.base.RunState;

/**
 * The head of an endpoint's response.
 *
 * @param status the HTTP status
 * @param echoedAttempt the attempt identifier in the response
 * @param saysNotRun true if the endpoint states that it did not run the call
 */
public record ResponseHead(int status, Optional<String> echoedAttempt, boolean saysNotRun) {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Returns whether the status is a server error. */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }

    /** Returns whether callers conclude from the status that the call has not run. */
    public boolean impliesNotRun() {
        return RunState.impliesNotRun(status);
    }

    /** Returns whether the response belongs to the given attempt. */
    public boolean belongsTo(AttemptId attempt) {
        return echoedAttempt.filter(attempt.value()::equals).isPresent();
    }
}
