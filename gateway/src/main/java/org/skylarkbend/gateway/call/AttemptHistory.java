package org.skylarkbend.gateway.call;

import java.util.HashSet;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.endpoints.PriorAttempts;

/** The attempts of a call so far. Confined to the task that serves the calls. */
final class AttemptHistory {
    private final Route mRoute;
    private final Set<String> mTriedIncarnations = new HashSet<>();
    private int mSent;
    private int mConnectFailures;
    private boolean mMayHaveRun;

    AttemptHistory(Route route) {
        mRoute = route;
    }

    /** Records the start of an attempt. */
    void started(Endpoint endpoint) {
        mTriedIncarnations.add(endpoint.incarnation());
    }

    /** Records an attempt that ended without a usable response. */
    void failed(AttemptOutcome outcome) {
        mMayHaveRun |= outcome.mayHaveRun();
        mConnectFailures += outcome.isSent() ? 0 : 1;
        mSent += outcome.isSent() ? 1 : 0;
    }

    /** Records that an endpoint may have run the call. */
    void mayHaveRunAt(Attempt attempt) {
        mMayHaveRun |= attempt.isSent();
    }

    /** Returns whether any endpoint may have run the call. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns the number of endpoints to which the call was sent, without the current one. */
    int sent() {
        return mSent;
    }

    /** Returns the number of endpoints that were tried. */
    int tried() {
        return mTriedIncarnations.size();
    }

    /** Returns what matters for the choice of the next endpoint. */
    PriorAttempts prior() {
        return new PriorAttempts(mTriedIncarnations, isLastAttempt());
    }

    /** Returns whether the current attempt is the last that the route allows. */
    boolean isLastAttempt() {
        return mSent + 1 >= mRoute.maxAttempts();
    }

    /** Returns whether the call may be sent again after the attempt that was recorded last. */
    boolean mayRetryAfter(AttemptOutcome outcome) {
        return AttemptPolicy.mayRetry(mRoute, mSent, mConnectFailures, outcome);
    }

    /** Returns whether the call may be sent again if the current attempt ends like this. */
    boolean mayRetryIfCurrentEndsWith(AttemptOutcome outcome) {
        return AttemptPolicy.mayRetry(mRoute, mSent + 1, mConnectFailures, outcome);
    }

    /**
     * Returns whether a server error of the current attempt may be answered by another endpoint.
     */
    boolean mayRetryServerError() {
        return mRoute.mayRunAgain() && mayRetryIfCurrentEndsWith(AttemptOutcome.FAILED);
    }
}
