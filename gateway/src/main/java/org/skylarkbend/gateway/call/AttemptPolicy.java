package org.skylarkbend.gateway.call;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;

/**
 * Decides whether a call is sent to another endpoint, and what its caller is told if not.
 *
 * <p>A call that may run once at most is sent again only if no endpoint can have run it. The caller
 * is told "not run" only if that holds for every attempt.
 */
public final class AttemptPolicy {
    /** Connections that cannot be opened use up no attempt, but not without end. */
    static final int MAX_UNCONNECTED = 4;

    private AttemptPolicy() {}

    /**
     * Whether the call may be sent to another endpoint.
     *
     * @param route the route of the call
     * @param sent to how many endpoints it was sent
     * @param unconnected how many endpoints could not be reached
     * @param outcome how the last attempt ended
     */
    public static boolean maySendAgain(
            Route route, int sent, int unconnected, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            return unconnected < MAX_UNCONNECTED;
        }
        if (sent >= route.maxAttempts()) {
            return false;
        }
        return !outcome.mayHaveRun()
                || route.mayRunAgain()
                || route.kind() == CallKind.STREAM && route.resumable();
    }

    /** What the caller is told when the call is not sent again. */
    public static ErrorKind failure(AttemptOutcome last, boolean mayHaveRun) {
        if (!mayHaveRun) {
            return ErrorKind.OVERLOADED;
        }
        return last == AttemptOutcome.SILENT
                ? ErrorKind.ENDPOINT_TIMEOUT
                : ErrorKind.ENDPOINT_FAILED;
    }
}
