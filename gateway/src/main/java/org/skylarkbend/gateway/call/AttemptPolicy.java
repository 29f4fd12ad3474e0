package org.skylarkbend.gateway.call;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;

/**
 * Decides whether a call is retried at another endpoint, and which error its caller receives
 * otherwise.
 *
 * <p>A call that may run at most once is retried only if no endpoint can have run it. The error
 * states that the call did not run only if that holds for every attempt.
 */
public final class AttemptPolicy {
    /**
     * Limit on failed connection attempts of a call. They do not count towards the attempts of the
     * route.
     */
    static final int MAX_CONNECT_FAILURES = 4;

    private AttemptPolicy() {}

    /**
     * Returns whether the call may be sent to another endpoint.
     *
     * @param route route of the call
     * @param sent number of endpoints to which the call was sent
     * @param connectFailures number of endpoints to which no connection could be opened
     * @param outcome outcome of the last attempt
     */
    public static boolean mayRetry(
            Route route, int sent, int connectFailures, AttemptOutcome outcome) {
        if (!outcome.isSent()) {
            return connectFailures < MAX_CONNECT_FAILURES;
        }
        if (sent >= route.maxAttempts()) {
            return false;
        }
        return !outcome.mayHaveRun() || mayRepeat(route);
    }

    /**
     * Returns whether the caller may receive an endpoint's response as it is. The status of one
     * that has run a call once only must not make the caller place the call again.
     */
    static boolean mayPassOn(Route route, ResponseHead head) {
        return mayRepeat(route) || !head.impliesNotRunUnstated();
    }

    private static boolean mayRepeat(Route route) {
        return route.mayRunAgain() || route.kind() == CallKind.STREAM && route.resumable();
    }

    /** Returns the error for the caller of a call that is not retried. */
    public static ErrorKind failure(AttemptOutcome last, boolean mayHaveRun) {
        if (!mayHaveRun) {
            return ErrorKind.OVERLOADED;
        }
        return last == AttemptOutcome.SILENT
                ? ErrorKind.ENDPOINT_TIMEOUT
                : ErrorKind.ENDPOINT_FAILED;
    }
}
