package org.skylarkbend.gateway.call;

import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.gateway.endpoints.EngineChoice;

/**
 * Hands a call over from an endpoint that is silent, or accepts no more connections, to another
 * one. The silent attempt goes on until its successor does: an endpoint, a connection and a retry
 * of the budget are secured first. Confined to the task that serves the calls.
 */
final class HandOver {
    /**
     * Time for which a stream's successor and predecessor may both be asked for the rest. The
     * predecessor must have stopped before the successor has worked on the stream for 400 ms.
     */
    static final long BOTH_MILLISECONDS = 250;

    private static final long NO_TIMER = -1;

    private final CallRequest mCall;
    private final CallResources mResources;
    private final AttemptHistory mHistory;
    private final Runs mRuns;
    private final CallLog mLog;
    private final Consumer<EngineChoice> mOnChosen;
    private final Consumer<Run> mOnTaken;
    private long mTimer = NO_TIMER;
    private String mKeptReason = "";

    /**
     * Creates the hand-over of a call that has not started.
     *
     * @param call the call
     * @param resources resources shared by all calls
     * @param history attempts of the call so far
     * @param runs attempts that are under way
     * @param log log of the call
     * @param onChosen starts a successor at an endpoint
     * @param onTaken lets a successor go on alone
     */
    HandOver(
            CallRequest call,
            CallResources resources,
            AttemptHistory history,
            Runs runs,
            CallLog log,
            Consumer<EngineChoice> onChosen,
            Consumer<Run> onTaken) {
        mCall = call;
        mResources = resources;
        mHistory = history;
        mRuns = runs;
        mLog = log;
        mOnChosen = onChosen;
        mOnTaken = onTaken;
    }

    /** Starts a successor if one can be secured. A stream has at most one at a time. */
    void secureSuccessor() {
        boolean mayStart =
                mHistory.mayStartAnother()
                        && now() < mCall.deadlineMilliseconds()
                        && !(mCall.isStream() && mRuns.areSeveral());
        if (!mayStart) {
            return;
        }
        Run silent = mRuns.newest().orElseThrow();
        if (!mResources.retries().hasRetry(mCall.service())) {
            logKept(silent, "no_retry_left");
            return;
        }
        Optional<EngineChoice> choice = mRuns.choose();
        if (choice.isEmpty()) {
            logKept(silent, "no_endpoint_left");
            return;
        }
        mResources.metrics().counter("gateway_handovers_started").inc();
        mLog.successorStarted(silent.endpoint(), choice.get().endpoint(), now());
        mOnChosen.accept(choice.get());
    }

    /**
     * Returns whether a call may be written to the connection that there is now. The retry of a
     * successor is taken from the budget here, and its predecessor stops soon after.
     */
    boolean maySend(Run run) {
        if (run.isPaid()) {
            return true;
        }
        if (!mResources.retries().tryTake(mCall.service())) {
            return false;
        }
        run.paid();
        mLog.successorSent(run.endpoint(), now());
        if (mCall.isStream() && mRuns.isSuccessor(run)) {
            cancel();
            mTimer = mResources.vertx().setTimer(BOTH_MILLISECONDS, id -> mOnTaken.accept(run));
        }
        return true;
    }

    /** Ends the time in which two attempts may go on. */
    void cancel() {
        mResources.vertx().cancelTimer(mTimer);
        mTimer = NO_TIMER;
    }

    /** Logs each reason once, since it is checked again while the endpoint is silent. */
    private void logKept(Run silent, String reason) {
        if (!reason.equals(mKeptReason)) {
            mKeptReason = reason;
            mResources.metrics().counter("gateway_handovers_kept").inc();
            mLog.kept(silent.endpoint(), reason, now());
        }
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
