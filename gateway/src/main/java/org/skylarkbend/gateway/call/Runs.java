package org.skylarkbend.gateway.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.gateway.endpoints.EndpointSelector;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.endpoints.PriorAttempts;

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
    private final List<Run> mRuns = new ArrayList<>();
    private boolean mHasEvents;

    /** Creates the runs of a call that has none yet. */
    Runs(
            CallRequest call,
            CallResources resources,
            AttemptHistory history,
            EndpointReports reports,
            CallLog log) {
        mCall = call;
        mResources = resources;
        mHistory = history;
        mReports = reports;
        mLog = log;
    }

    /** Selects the endpoint of the next attempt. */
    Optional<EngineChoice> choose() {
        EndpointSelector selector = mResources.selector();
        String service = mCall.service();
        PriorAttempts prior = mHistory.prior();
        return mCall.prompt().isEmpty()
                ? selector.choose(service, prior, now())
                : selector.choose(service, mCall.prompt().get(), mCall.cacheScope(), prior, now());
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
        Attempt attempt = new Attempt(choice, listener);
        ReceivedResponse received =
                new ReceivedResponse(mResources.responses(), () -> onGivenUp.accept(attempt));
        Run run = new Run(attempt, choice, received, isPaid, now());
        mRuns.add(run);
        mHistory.started(choice.endpoint());
        mResources.outcomes().sent(choice.endpoint());
        mResources.selector().sent(choice.endpoint(), attempt.tokensToRead(), now());
        return run;
    }

    /** Records that events for the caller have arrived. */
    void eventsArrived(Run run) {
        mHasEvents = true;
        run.eventsArrived(now());
        promptRead(run);
    }

    /** Records an attempt that ended without a usable response, and removes its run. */
    void failed(Run run, AttemptOutcome outcome, String cause) {
        boolean isWaiting = isWaiting(run);
        remove(run);
        run.received().discard();
        mReports.attemptFailed(run.endpoint(), outcome, isWaiting);
        if (outcome == AttemptOutcome.NOT_RUN) {
            mResources.selector().refused(run.endpoint(), now());
        } else if (outcome != AttemptOutcome.WITHDRAWN) {
            mResources.selector().failed(run.endpoint(), now());
        }
        mHistory.failed(outcome);
        if (outcome.mayHaveRun()) {
            recordOutcome(run, false);
        }
        mLog.attemptFailed(run.endpoint(), outcome, cause, isWaiting, mHistory.sent(), now());
    }

    /** Records the response of the call, and removes its run. What it received is kept. */
    void answered(Run run) {
        remove(run);
        mHistory.answered(run.attempt());
        mResources.selector().succeeded(run.endpoint());
        recordOutcome(run, !run.head().isServerError());
        if (!run.head().isError()) {
            mReports.promptServed();
        }
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
        } else {
            remove(run);
            run.received().discard();
            mHistory.stopped(run.attempt());
        }
    }

    /** Stops all attempts because the call has ended. */
    void stopAll() {
        for (Run run : all()) {
            run.attempt().stop();
            remove(run);
            run.received().discard();
        }
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
        promptRead(run);
        mResources.selector().ended(run.endpoint());
        mRuns.remove(run);
    }

    private void recordOutcome(Run run, boolean isSuccess) {
        mReports.outcome(run.endpoint(), isSuccess, run.firstEventMilliseconds(now()));
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
