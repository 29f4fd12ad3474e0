package org.skylarkbend.gateway.call;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.intake.CallBoundary;

/**
 * The attempts of a call that are under way, in the order of their starts, and their accounts at
 * the selector, in the reports and in the log. The first is the one that serves the caller.
 * Confined to the task that serves the calls.
 */
final class Runs {
    private final CallRequest mCall;
    private final CallResources mResources;
    private final AttemptHistory mHistory;
    private final EndpointReports mReports;
    private final CallLog mLog;
    private final CallBoundary mBoundary;
    private final List<Run> mRuns = new ArrayList<>();
    private boolean mHasEvents;

    /** Creates the runs of a call that has none yet. */
    Runs(
            CallRequest call,
            CallResources resources,
            AttemptHistory history,
            EndpointReports reports,
            CallLog log,
            CallBoundary boundary) {
        mCall = call;
        mResources = resources;
        mHistory = history;
        mReports = reports;
        mLog = log;
        mBoundary = boundary;
    }

    /** Selects an endpoint that was not tried. */
    Optional<EngineChoice> choose() {
        return mResources.choose(mCall, mHistory.prior());
    }

    /**
     * Selects the endpoint of the next attempt of a call that none is under way for: one that was
     * not tried, or else one that was stopped for its silence.
     */
    Optional<EngineChoice> chooseAlsoSilent() {
        return choose().or(() -> mResources.choose(mCall, mHistory.priorExceptSilent()));
    }

    /**
     * Adds a run, whose attempt is to be started next.
     *
     * @param choice the endpoint
     * @param listener receives the progress of the attempt
     * @param onGivenUp ends the attempt because its response finds no memory
     * @param isPaid false if a retry is still to be taken from the budget
     */
    Run add(
            EngineChoice choice,
            Attempt.Listener listener,
            Consumer<Attempt> onGivenUp,
            boolean isPaid) {
        Attempt attempt = new Attempt(choice, listener, mBoundary);
        ReceivedResponse received =
                new ReceivedResponse(
                        mResources.responses(), mBoundary.around(() -> onGivenUp.accept(attempt)));
        Run run = new Run(attempt, choice, received, isPaid, now());
        mHistory.started(choice.endpoint());
        mResources.outcomes().sent(choice.endpoint());
        mResources.selector().sent(choice.endpoint(), attempt.tokensToRead(), now());
        mRuns.add(run);
        return run;
    }

    /**
     * Starts the attempt of a run.
     *
     * @param run the run
     * @param body body of the call
     * @param lastEventId the ID of the event after which a stream is to go on
     */
    void start(Run run, Buffer body, Optional<String> lastEventId) {
        run.attempt()
                .start(
                        mResources.client(),
                        mResources.names(),
                        new Attempt.Content(
                                mCall,
                                body,
                                Urgency.of(mCall, run.choice()),
                                mResources.cacheScope(mCall),
                                lastEventId,
                                Math.max(1, mCall.deadlineMilliseconds() - now())));
    }

    /** Records that events for the caller have arrived. */
    void eventsArrived(Run run) {
        if (!mHasEvents) {
            mResources.recordEstimate(run.choice(), run.firstEventMilliseconds(now()));
        }
        mHasEvents = true;
        run.eventsArrived(now());
        promptRead(run);
    }

    /** Records that there is a connection for the request of a run. */
    void connected(Run run) {
        mResources
                .selector()
                .sharedPools()
                .connected(run.endpoint().zone(), run.firstEventMilliseconds(now()));
    }

    /** Records an attempt that ended without a usable response, and removes its run. */
    void failed(Run run, AttemptOutcome outcome, String cause) {
        boolean isWaiting = isWaiting(run);
        mHistory.failed(outcome);
        remove(run);
        run.received().discard();
        mReports.attemptFailed(run.endpoint(), outcome, isWaiting);
        if (outcome == AttemptOutcome.NOT_RUN) {
            mResources.selector().refused(run.endpoint(), now());
        } else if (outcome != AttemptOutcome.WITHDRAWN) {
            mResources.selector().failed(run.endpoint(), now());
        }
        if (outcome.mayHaveRun()) {
            recordOutcome(run, false);
        }
        mLog.attemptFailed(run.endpoint(), outcome, cause, isWaiting, mHistory.sent(), now());
    }

    /** Records the response of the call, and removes its run. What it received is kept. */
    void answered(Run run) {
        mHistory.answered(run.attempt());
        remove(run);
        mResources.selector().succeeded(run.endpoint());
        recordOutcome(run, !run.head().isServerError());
        if (!run.head().isError()) {
            mReports.promptServed();
        }
    }

    /** Records that the response of the call is kept from the caller. */
    void responseWithheld(Run run) {
        mResources.metrics().counter("gateway_responses_withheld").inc();
        mLog.withheld(run.endpoint(), run.head().status(), now());
    }

    /** Stops all other attempts because one goes on. Those that were silent have failed. */
    void stopAllBut(Run run, String reason) {
        for (Run other : all()) {
            if (other != run) {
                other.attempt().stop();
                boolean wasSent = other.attempt().isSent();
                mLog.handedOver(run.endpoint(), other.endpoint(), wasSent, reason, now());
                stopped(other);
            }
        }
    }

    private void stopped(Run run) {
        if (run.isSilent()) {
            failed(run, AttemptOutcome.SILENT, "the endpoint was silent");
            mHistory.stoppedForSilence(run.endpoint());
        } else {
            mHistory.stopped(run.attempt());
            remove(run);
            run.received().discard();
        }
    }

    /** Stops all attempts because the call has ended. */
    void stopAll() {
        for (Run run : all()) {
            mBoundary.runEach(
                    run.attempt()::stop, () -> remove(run), () -> run.received().discard());
        }
    }

    /** Records the end of the call, when no attempt is left. */
    void callEnded(
            String outcome, int status, Optional<EngineChoice> lastChoice, StreamTiming timing) {
        mResources.metrics().counter("gateway_calls_" + outcome).inc();
        mLog.ended(
                new CallLog.End(
                        outcome,
                        status,
                        mHistory.sent(),
                        mHistory.tried(),
                        lastChoice,
                        timing,
                        mResources.selector().ageMilliseconds(now())),
                now());
    }

    /** Records that the endpoint of each attempt may have run the call. */
    void mayHaveRun() {
        mRuns.forEach(run -> mHistory.mayHaveRunAt(run.attempt()));
    }

    /** Returns the run of an attempt, unless it was removed. */
    Optional<Run> of(Attempt attempt) {
        return mRuns.stream().filter(run -> run.attempt() == attempt).findFirst();
    }

    /** Returns all runs. */
    List<Run> all() {
        return List.copyOf(mRuns);
    }

    /** Returns the run that serves the caller. */
    Optional<Run> first() {
        return mRuns.stream().findFirst();
    }

    /** Returns the run that was started last. */
    Optional<Run> newest() {
        return mRuns.isEmpty() ? Optional.empty() : Optional.of(mRuns.get(mRuns.size() - 1));
    }

    /** Returns whether the run may take the place of another one. */
    boolean isSuccessor(Run run) {
        return first().filter(first -> first != run).isPresent();
    }

    /** Returns whether no attempt is under way. */
    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    /** Returns whether several attempts are under way. */
    boolean areSeveral() {
        return mRuns.size() > 1;
    }

    /** Returns whether the call waits at the endpoint for its first event. */
    boolean isWaiting(Run run) {
        return !run.attempt().isPromptRead() && !mHasEvents;
    }

    /** Returns whether each request that was started is written completely. */
    boolean areBodiesSent() {
        return mRuns.stream().allMatch(Run::isBodySent);
    }

    private void promptRead(Run run) {
        if (run.attempt().markPromptRead()) {
            mResources.selector().promptRead(run.endpoint(), run.attempt().tokensToRead());
        }
    }

    private void remove(Run run) {
        mRuns.remove(run);
        promptRead(run);
        mResources.selector().ended(run.endpoint());
    }

    private void recordOutcome(Run run, boolean isSuccess) {
        mReports.outcome(run.endpoint(), isSuccess, run.firstEventMilliseconds(now()));
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
