package org.skylarkbend.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.limits.TokenGate;
import org.skylarkbend.intake.CallBoundary;
import org.skylarkbend.wire.HeldBytes;

/**
 * Call in progress, from its admission to the end of the response. It is confined to the task that
 * serves the calls, and owns its timers and the attempts that are under way.
 */
final class GatewayCall implements Attempt.Listener, TokenGate.Caller {
    /** An engine that goes on sending events for this time has survived the prompt. */
    private static final long SURVIVED_MILLISECONDS = 500;

    private static final long RETRY_AFTER_MILLISECONDS = 100;

    private final CallRequest mCall;
    private final HeldBytes mRequestBody;
    private final CallResources mResources;
    private final CallerResponse mResponse;
    private final Runnable mOnEnd;
    private final CallBoundary mBoundary;
    private final CallFingerprint mFingerprint;
    private final CallLog mLog;
    private final EndpointReports mReports;
    private final AttemptHistory mHistory;
    private final Runs mRuns;
    private final HandOver mHandOver;
    private final StreamTiming mTiming;
    private final SilenceTimer mSilenceTimer;
    private final RateReservation mReservation;
    private final RoomWait mRoomWait;
    private Optional<EngineChoice> mLastChoice = Optional.empty();
    private Optional<Run> mAnswer = Optional.empty();
    private Optional<String> mLastEventId = Optional.empty();
    private long mTimeoutTimer = -1;
    private boolean mStreaming;
    private boolean mEnded;
    private boolean mSendingResponse;

    /**
     * Creates a call that has not started.
     *
     * @param call the admitted call
     * @param requestBody body of the call, released as soon as no attempt can need it
     * @param resources resources shared by all calls
     * @param response response to the caller
     * @param boundary boundary within which the call runs the callbacks that it registers
     * @param onEnd run once when the call has ended
     */
    GatewayCall(
            CallRequest call,
            HeldBytes requestBody,
            CallResources resources,
            CallerResponse response,
            CallBoundary boundary,
            Runnable onEnd) {
        mCall = call;
        mRequestBody = requestBody;
        mResources = resources;
        mResponse = response;
        mOnEnd = onEnd;
        mBoundary = boundary;
        mFingerprint = new CallFingerprint(call, requestBody::content);
        mHistory = new AttemptHistory(call.route());
        mLog = new CallLog(call, mFingerprint);
        mReports = new EndpointReports(call, mFingerprint, resources);
        mRuns = new Runs(call, resources, mHistory, mReports, mLog, boundary);
        mHandOver =
                new HandOver(
                        call,
                        resources,
                        mHistory,
                        mRuns,
                        mLog,
                        choice -> start(choice, false),
                        boundary.around(run -> goOnWith(run, "the time for both has passed")));
        mReservation = new RateReservation(call, resources);
        mRoomWait = new RoomWait(call, resources, boundary.around(this::sendToNextEndpoint));
        mTiming = new StreamTiming(call.arrivedMilliseconds());
        mSilenceTimer =
                new SilenceTimer(
                        resources.vertx(), call.route(), boundary.around(this::handleSilence));
    }

    /**
     * Starts the call. If the customer has a rate limit, the call is sent once its tokens are
     * granted.
     */
    void start() {
        if (isQuarantined()) {
            refuseQuarantined();
            return;
        }
        long waitMilliseconds = Math.max(1, mCall.deadlineMilliseconds() - now());
        mTimeoutTimer =
                mResources.vertx().setTimer(waitMilliseconds, id -> mBoundary.run(this::timedOut));
        mResources.retries().recordCall(mCall.service());
        mReservation.request(this);
    }

    @Override
    public void admitted() {
        if (!mEnded) {
            mBoundary.run(this::sendToNextEndpoint);
        }
    }

    @Override
    public void refused(long retryAfterMilliseconds) {
        String detail = "the rate limit of the customer is exceeded";
        mBoundary.run(() -> fail(ErrorKind.RATE_EXCEEDED, detail, retryAfterMilliseconds));
    }

    /** Handles the disconnection of the caller. */
    void callerDisconnected() {
        if (!mEnded) {
            finish("caller_left", 0);
        }
    }

    /** Handles the loss of an endpoint that accepts no more connections. */
    void endpointLost(Endpoint endpoint) {
        mRuns.newest()
                .filter(run -> run.endpoint().incarnation().equals(endpoint.incarnation()))
                .filter(run -> !run.waitsForCaller())
                .ifPresent(
                        run -> {
                            if (mRuns.isWaiting(run) && mHistory.mayStartAnother()) {
                                mReports.endpointLost(endpoint);
                            }
                            handleSilence();
                        });
    }

    /**
     * Ends the call because the gateway shuts down and cannot wait any longer. The caller learns
     * whether the call may have run.
     */
    void gatewayStopping() {
        fail(ErrorKind.ROUTER_DRAINING, "the gateway is shutting down");
    }

    /**
     * Handles a change of the quarantined parts. A call that waits at an engine is taken back if it
     * would crash the engine.
     */
    void quarantineChanged() {
        if (!mEnded && mRuns.all().stream().anyMatch(mRuns::isWaiting) && isQuarantined()) {
            refuseQuarantined();
        }
    }

    /**
     * Returns whether the call must not reach an engine. A call that has received events is proof
     * that its prompt crashes none.
     */
    private boolean isQuarantined() {
        return !mStreaming && quarantinedMilliseconds().isPresent();
    }

    private OptionalLong quarantinedMilliseconds() {
        return mResources.crashes().quarantinedMilliseconds(mFingerprint::parts, now());
    }

    private void refuseQuarantined() {
        long remainingMilliseconds = quarantinedMilliseconds().orElse(RETRY_AFTER_MILLISECONDS);
        mLog.quarantined(!mRuns.isEmpty(), remainingMilliseconds);
        String detail = "a part of the prompt crashes engines";
        fail(ErrorKind.PROMPT_QUARANTINED, detail, remainingMilliseconds);
    }

    private void sendToNextEndpoint() {
        if (isQuarantined()) {
            refuseQuarantined();
            return;
        }
        Optional<EngineChoice> chosen = mRuns.chooseAlsoSilent();
        if (chosen.isEmpty() && mRoomWait.begin()) {
            return;
        }
        if (chosen.isEmpty()) {
            OptionalLong paused = mResources.selector().pausedMilliseconds(mCall.service(), now());
            long returnMilliseconds = paused.orElse(RETRY_AFTER_MILLISECONDS);
            fail(ErrorKind.NO_ENDPOINT, "no endpoint is left to try", returnMilliseconds);
            return;
        }
        start(chosen.get(), true);
    }

    private void start(EngineChoice choice, boolean isPaid) {
        mLastChoice = Optional.of(choice);
        Run run = mRuns.add(choice, this, this::giveUpResponse, isPaid);
        mSilenceTimer.restart(mStreaming);
        mRuns.start(run, mRequestBody.content(), mLastEventId);
    }

    @Override
    public boolean isStillWanted(Attempt attempt) {
        mRuns.of(attempt).ifPresent(mRuns::connected);
        return mResources.selector().acceptsCalls(attempt.endpoint(), now())
                && !isQuarantined()
                && mRuns.of(attempt).filter(mHandOver::maySend).isPresent();
    }

    @Override
    public void headReceived(Attempt attempt, ResponseStart response) {
        Run run = mRuns.of(attempt).orElseThrow();
        ResponseHead head = new ResponseHead(response, mCall, mResources.names());
        run.headReceived(head);
        mResources.selector().responded(attempt.endpoint(), now());
        mSilenceTimer.restart(mStreaming);
        if (head.isForThisCall()) {
            mReports.loadReceived(attempt.endpoint(), response);
            mReports.responded(attempt.endpoint(), response);
        }
        boolean mustResume = mStreaming || mRuns.isSuccessor(run) && mCall.isStream();
        if (!head.isForThisCall() || !head.isError() && !head.isSealed()) {
            stop(run, AttemptOutcome.BROKEN, "the response has another request ID or no seal");
        } else if (mustResume && !head.resumesStream()) {
            stop(
                    run,
                    head.statesNotRun() ? AttemptOutcome.NOT_RUN : AttemptOutcome.FAILED,
                    "the endpoint did not resume the stream: status " + head.status());
        }
    }

    private void stop(Run run, AttemptOutcome outcome, String cause) {
        run.attempt().stop();
        aborted(run.attempt(), outcome, cause);
    }

    @Override
    public void chunk(Attempt attempt, Buffer chunk) {
        Run run = mRuns.of(attempt).orElseThrow();
        mResources.selector().responded(attempt.endpoint(), now());
        if (run.head().isStream()) {
            run.received()
                    .appendToStream(chunk)
                    .ifPresentOrElse(events -> forward(run, events), () -> giveUpResponse(attempt));
        } else if (run.received().appendToBody(chunk)) {
            run.setSilent(false);
            mSilenceTimer.restart(mStreaming);
        } else {
            giveUpResponse(attempt);
        }
    }

    /** Gives up a response for which there is no memory. */
    private void giveUpResponse(Attempt attempt) {
        if (mSendingResponse) {
            mResponse.abortStream();
            return;
        }
        mRuns.of(attempt)
                .ifPresent(run -> stop(run, AttemptOutcome.BROKEN, "the response is too large"));
    }

    private void forward(Run run, Buffer events) {
        boolean hasNewEvent = run.received().hasNewEvent();
        if (events.length() == 0 || mRuns.isSuccessor(run) && !hasNewEvent) {
            return;
        }
        if (hasNewEvent) {
            goOnWith(run, "it sent the next event");
        }
        run.received().lastEventId().ifPresent(id -> mLastEventId = Optional.of(id));
        mTiming.eventsArrived(now());
        mRuns.eventsArrived(run);
        if (run.streamMilliseconds(now()) >= SURVIVED_MILLISECONDS) {
            mReports.promptServed();
        }
        if (!mStreaming) {
            beginStream(run);
        }
        mResponse.events(events);
        if (mResponse.isCongested()) {
            waitForCaller(run);
        } else if (hasNewEvent) {
            mSilenceTimer.restart(mStreaming);
        }
    }

    private void beginStream(Run run) {
        mStreaming = true;
        mResponse.beginStream(run.head().status(), run.head().headers());
        mResources.recordFirstEvent(now() - mCall.arrivedMilliseconds());
        releaseRequestBodyIfUnneeded();
    }

    /** Stops all other attempts because this one goes on. */
    private void goOnWith(Run run, String reason) {
        run.setSilent(false);
        if (mRuns.areSeveral()) {
            mHandOver.cancel();
            mRuns.stopAllBut(run, reason);
        }
    }

    /** Stops reading the stream until the caller has read more of it. */
    private void waitForCaller(Run run) {
        run.pause();
        mSilenceTimer.cancel();
        mResponse.onDrained(mBoundary.around(() -> callerHasRead(run)));
    }

    private void callerHasRead(Run run) {
        if (!mEnded && mRuns.of(run.attempt()).isPresent()) {
            mSilenceTimer.restart(mStreaming);
            run.resume();
        }
    }

    @Override
    public void bodySent(Attempt attempt) {
        mRuns.of(attempt).ifPresent(Run::bodySent);
        releaseRequestBodyIfUnneeded();
    }

    /** Releases the body unless another attempt may have to send it. */
    private void releaseRequestBodyIfUnneeded() {
        boolean mayBeSentAgain =
                !mHistory.isLastAttempt() && (!mStreaming || mCall.route().resumable());
        if (mEnded || mRuns.areBodiesSent() && !mayBeSentAgain) {
            mFingerprint.bodyReleased();
            mRequestBody.release();
        }
    }

    @Override
    public void ended(Attempt attempt) {
        Run run = mRuns.of(attempt).orElseThrow();
        ResponseHead head = run.head();
        String cause = "the endpoint responded with status " + head.status();
        if (head.isStream() && run.received().hasPartialEvent()) {
            aborted(attempt, AttemptOutcome.BROKEN, "the stream ended in the middle of an event");
        } else if (head.isStream()) {
            endCompleteStream(run);
        } else if (head.statesNotRun()) {
            aborted(attempt, AttemptOutcome.NOT_RUN, cause);
        } else if (head.isServerError() && (mRuns.areSeveral() || mHistory.mayRetryServerError())) {
            aborted(attempt, AttemptOutcome.FAILED, cause);
        } else {
            answered(run);
            if (AttemptPolicy.mayPassOn(mCall.route(), head)) {
                sendCompleteResponse(run);
            } else {
                mRuns.responseWithheld(run);
                fail(ErrorKind.ENDPOINT_FAILED, cause);
            }
        }
    }

    private void answered(Run run) {
        goOnWith(run, "its response is whole");
        mLastChoice = Optional.of(run.choice());
        mAnswer = Optional.of(run);
        mRuns.answered(run);
    }

    private void endCompleteStream(Run run) {
        answered(run);
        if (mStreaming) {
            mResponse.endStream();
            finish("answered", run.head().status());
        } else {
            sendCompleteResponse(run);
        }
    }

    /** Sends the response, which takes memory until the caller has got it. */
    private void sendCompleteResponse(Run run) {
        Future<Void> sent =
                mResponse.complete(
                        run.head().status(), run.head().headers(), run.received().body());
        mSendingResponse = true;
        sent.onComplete(ignored -> run.received().discard());
        finish("answered", run.head().status());
    }

    @Override
    public void aborted(Attempt attempt, AttemptOutcome outcome, String cause) {
        Optional<Run> found = mRuns.of(attempt);
        if (mEnded || found.isEmpty()) {
            return;
        }
        Run run = found.get();
        mHandOver.cancel();
        mRuns.failed(run, outcome, cause);
        if (mRuns.isEmpty()) {
            retryOrFail(run, outcome, cause);
        } else if (mRuns.newest().filter(Run::isSilent).isPresent()) {
            mSilenceTimer.restart(mStreaming);
            mHandOver.secureSuccessor();
        }
    }

    private void retryOrFail(Run last, AttemptOutcome outcome, String cause) {
        boolean needsRetry = outcome.isSent() || !last.isPaid();
        boolean willRetry =
                mHistory.mayRetryAfter(outcome)
                        && now() < mCall.deadlineMilliseconds()
                        && (!needsRetry || mResources.retries().tryTake(mCall.service()));
        if (willRetry) {
            sendToNextEndpoint();
        } else {
            fail(
                    AttemptPolicy.failure(outcome, mHistory.mayHaveRun()),
                    cause,
                    mResources.retryAfterMilliseconds(mCall, RETRY_AFTER_MILLISECONDS));
        }
    }

    private void handleSilence() {
        if (mEnded || mRuns.isEmpty()) {
            return;
        }
        Run newest = mRuns.newest().orElseThrow();
        if (mRuns.isSuccessor(newest) && !newest.attempt().isSent()) {
            stop(newest, AttemptOutcome.WITHDRAWN, "there was no connection in time");
            return;
        }
        newest.setSilent(true);
        mSilenceTimer.restart(mStreaming);
        mHandOver.secureSuccessor();
    }

    private void timedOut() {
        ErrorKind kind = mayHaveRun() ? ErrorKind.ENDPOINT_TIMEOUT : ErrorKind.OVERLOADED;
        fail(kind, "the deadline of the call has passed");
    }

    /** Ends the call after an exception. The caller learns whether the call may have run. */
    void stepFailed() {
        ErrorKind kind = mayHaveRun() ? ErrorKind.INTERNAL : ErrorKind.INTERNAL_NOT_RUN;
        fail(kind, "a step of the call failed");
    }

    private boolean mayHaveRun() {
        mRuns.mayHaveRun();
        return mHistory.mayHaveRun();
    }

    private void fail(ErrorKind reason, String detail) {
        fail(reason, detail, RETRY_AFTER_MILLISECONDS);
    }

    /**
     * Ends the call with an error. Whatever the reason, an error that states that the call did not
     * run reaches the caller only if no attempt may have run it.
     */
    private void fail(ErrorKind reason, String detail, long retryAfterMilliseconds) {
        if (mEnded) {
            return;
        }
        ErrorKind kind = reason.unlessItMayHaveRun(mayHaveRun());
        mBoundary.runEach(
                () -> {
                    if (mStreaming) {
                        mResponse.abortStream();
                    } else {
                        mResponse.failure(kind, detail, retryAfterMilliseconds);
                    }
                });
        finish(kind.code(), kind.httpStatus());
    }

    private void finish(String outcome, int status) {
        mEnded = true;
        mBoundary.runEach(
                mHandOver::cancel,
                mRuns::stopAll,
                () -> mResources.vertx().cancelTimer(mTimeoutTimer),
                mSilenceTimer::cancel,
                mRoomWait::cancel,
                this::releaseRequestBodyIfUnneeded,
                this::discardUnlessSending,
                mReservation::cancel,
                mOnEnd,
                () -> mRuns.callEnded(outcome, status, mLastChoice, mTiming));
    }

    private void discardUnlessSending() {
        if (!mSendingResponse) {
            mAnswer.ifPresent(run -> run.received().discard());
        }
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
