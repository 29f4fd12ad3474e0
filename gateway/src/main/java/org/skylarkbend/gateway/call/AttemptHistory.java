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
    private final Set<String> mSilentIncarnations = new HashSet<>();
    private int mRunning;
    private int mSent;
    private int mConnectFailures;
    private boolean mMayHaveRun;

    AttemptHistory(Route route) {
        mRoute = route;
    }

    /** Records the start of an attempt. */
    void started(Endpoint endpoint) {
        mTriedIncarnations.add(endpoint.incarnation());
        mSilentIncarnations.remove(endpoint.incarnation());
        mRunning++;
    }

    /** Records an attempt that ended without a usable response. */
    void failed(AttemptOutcome outcome) {
        mRunning--;
        mMayHaveRun |= outcome.mayHaveRun();
        mConnectFailures += outcome.isSent() ? 0 : 1;
        mSent += outcome.isSent() ? 1 : 0;
    }

    /** Records an attempt whose response is the one of the call. */
    void answered(Attempt attempt) {
        mRunning--;
        mayHaveRunAt(attempt);
    }

    /**
     * Records an attempt that was stopped because another one went on. Its endpoint has shown no
     * fault and may be tried again.
     */
    void stopped(Attempt attempt) {
        mRunning--;
        mTriedIncarnations.remove(attempt.endpoint().incarnation());
        mSent += attempt.isSent() ? 1 : 0;
        mayHaveRunAt(attempt);
    }

    /**
     * Records that an attempt was stopped because its endpoint was silent. The endpoint may be
     * sound, so the call may go back to it if no other one is left.
     */
    void stoppedForSilence(Endpoint endpoint) {
        mSilentIncarnations.add(endpoint.incarnation());
    }

    /** Records that an endpoint may have run the call. */
    void mayHaveRunAt(Attempt attempt) {
        mMayHaveRun |= attempt.isSent();
    }

    /** Returns whether any endpoint may have run the call. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns the number of endpoints to which the call was sent, without current ones. */
    int sent() {
        return mSent;
    }

    /** Returns the number of endpoints that were tried. */
    int tried() {
        return mTriedIncarnations.size();
    }

    /** Returns what matters for the choice of the next endpoint. */
    PriorAttempts prior() {
        return new PriorAttempts(mTriedIncarnations, mSent + mRunning + 1 >= mRoute.maxAttempts());
    }

    /** Returns what matters for the choice among the endpoints that were stopped for silence. */
    PriorAttempts priorExceptSilent() {
        Set<String> excluded = new HashSet<>(mTriedIncarnations);
        excluded.removeAll(mSilentIncarnations);
        return new PriorAttempts(excluded, prior().isLast());
    }

    /** Returns whether the route allows no attempt besides the current ones. */
    boolean isLastAttempt() {
        return mSent + mRunning >= mRoute.maxAttempts();
    }

    /** Returns whether the call may be sent again after the attempt that was recorded last. */
    boolean mayRetryAfter(AttemptOutcome outcome) {
        return AttemptPolicy.mayRetry(mRoute, mSent, mConnectFailures, outcome);
    }

    /** Returns whether another attempt may be started while the current ones are silent. */
    boolean mayStartAnother() {
        return mConnectFailures < AttemptPolicy.MAX_CONNECT_FAILURES
                && mayRetryIfCurrentEndsWith(AttemptOutcome.SILENT);
    }

    private boolean mayRetryIfCurrentEndsWith(AttemptOutcome outcome) {
        return AttemptPolicy.mayRetry(mRoute, mSent + mRunning, mConnectFailures, outcome);
    }

    /**
     * Returns whether a server error of the current attempt may be answered by another endpoint.
     */
    boolean mayRetryServerError() {
        return mRoute.mayRunAgain() && mayRetryIfCurrentEndsWith(AttemptOutcome.FAILED);
    }
}
