package org.skylarkbend.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.limits.TokenGate;
import org.skylarkbend.wire.HeldBytes;

/**
 * Call in progress, from its admission to the end of the response. It is confined to the task that
 * serves the calls, and owns its timers and the current attempt.
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
    private final ReceivedResponse mReceived;
    private final StreamTiming mTiming;
    private final SilenceTimer mSilenceTimer;
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<EngineChoice> mLastChoice = Optional.empty();
    private OptionalLong mReservation = OptionalLong.empty();
    private long mTimeoutTimer = -1;
    private boolean mStreaming;
    private boolean mEnded;
    private ResponseHead mHead;
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
        mReceived =
                new ReceivedResponse(resources.responses(), boundary.around(this::giveUpResponse));
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
        String customer = mCall.customer().map(Customer::name).orElse("");
        if (mResources.gate().isLimited(customer)) {
            long number = mResources.gate().reserve(customer, mCall.units(), this, now());
            mReservation = OptionalLong.of(number);
            if (mEnded) {
                mResources.gate().cancel(number, now());
            }
        } else {
            admitted();
        }
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
        mAttempt.map(Attempt::endpoint)
                .filter(own -> own.incarnation().equals(endpoint.incarnation()))
                .ifPresent(own -> handleSilence());
    }

    /**
     * Ends the call because the gateway shuts down and cannot wait any longer. The caller learns
     * whether the call may have run.
     */
    void gatewayStopping() {
        mAttempt.ifPresent(mHistory::mayHaveRunAt);
        fail(
                mHistory.mayHaveRun() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.ROUTER_DRAINING,
                "the gateway is shutting down",
                RETRY_AFTER_MILLISECONDS);
    }

    /**
     * Handles a change of the quarantined parts. A call that waits at an engine is taken back if it
     * would crash the engine.
     */
    void quarantineChanged() {
        boolean isWaiting = mAttempt.filter(attempt -> !attempt.isPromptRead()).isPresent();
        if (!mEnded && isWaiting && isQuarantined()) {
            mAttempt.ifPresent(mHistory::mayHaveRunAt);
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
        mLog.quarantined(mAttempt.isPresent(), remainingMilliseconds);
        fail(
                mHistory.mayHaveRun() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.PROMPT_QUARANTINED,
                "a part of the prompt crashes engines",
                remainingMilliseconds);
    }

    private void sendToNextEndpoint() {
        if (isQuarantined()) {
            refuseQuarantined();
            return;
        }
        Optional<EngineChoice> chosen = mResources.choose(mCall, mHistory.prior());
        if (chosen.isEmpty()) {
            ErrorKind kind =
                    mHistory.mayHaveRun() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.NO_ENDPOINT;
            long pausedMilliseconds =
                    mResources
                            .selector()
                            .pausedMilliseconds(mCall.service(), now())
                            .orElse(RETRY_AFTER_MILLISECONDS);
            fail(kind, "no endpoint is left to try", pausedMilliseconds);
            return;
        }
        Endpoint endpoint = chosen.get().endpoint();
        mLastChoice = chosen;
        mHistory.started(endpoint);
        Attempt attempt = new Attempt(chosen.get(), this, mBoundary);
        mReceived.discard();
        mTiming.attemptStarted(now());
        mResources.outcomes().sent(endpoint);
        mResources.selector().sent(endpoint, attempt.tokensToRead(), now());
        mAttempt = Optional.of(attempt);
        attempt.start(
                mResources.client(),
                mResources.names(),
                new Attempt.Content(
                        mCall,
                        mRequestBody.content(),
                        Urgency.of(mCall, chosen.get()),
                        mReceived.lastEventId(),
                        Math.max(1, mCall.deadlineMilliseconds() - now())));
        mSilenceTimer.restart(mStreaming);
    }

    @Override
    public boolean isStillWanted(Attempt attempt) {
        return mResources.selector().acceptsCalls(attempt.endpoint(), now()) && !isQuarantined();
    }

    @Override
    public void headReceived(Attempt attempt, ResponseStart response) {
        mHead = new ResponseHead(response, mCall, mResources.names());
        mResources.selector().responded(attempt.endpoint(), now());
        mSilenceTimer.restart(mStreaming);
        if (mHead.isForThisCall()) {
            mReports.loadReceived(attempt.endpoint(), response);
            mReports.responded(attempt.endpoint(), response);
        }
        if (!mHead.isForThisCall() || !mHead.isError() && !mHead.isSealed()) {
            stop(attempt, AttemptOutcome.BROKEN, "the response has another request ID or no seal");
        } else if (mStreaming && !mHead.resumesStream()) {
            stop(
                    attempt,
                    mHead.statesNotRun() ? AttemptOutcome.NOT_RUN : AttemptOutcome.FAILED,
                    "the endpoint did not resume the stream: status " + mHead.status());
        }
    }

    private void stop(Attempt attempt, AttemptOutcome outcome, String cause) {
        attempt.stop();
        aborted(attempt, outcome, cause);
    }

    @Override
    public void chunk(Attempt attempt, Buffer chunk) {
        mResources.selector().responded(attempt.endpoint(), now());
        if (mHead.isStream()) {
            mReceived
                    .appendToStream(chunk)
                    .ifPresentOrElse(events -> forward(attempt, events), this::giveUpResponse);
        } else if (mReceived.appendToBody(chunk)) {
            mSilenceTimer.restart(mStreaming);
        } else {
            giveUpResponse();
        }
    }

    /** Gives up a response for which there is no memory. */
    private void giveUpResponse() {
        if (mSendingResponse) {
            mResponse.abortStream();
            return;
        }
        mAttempt.ifPresent(
                attempt -> stop(attempt, AttemptOutcome.BROKEN, "the response is too large"));
    }

    private void forward(Attempt attempt, Buffer events) {
        if (events.length() == 0) {
            return;
        }
        mTiming.eventsArrived(now());
        promptRead(attempt);
        if (mTiming.attemptStreamMilliseconds(now()) >= SURVIVED_MILLISECONDS) {
            mReports.promptServed();
        }
        if (!mStreaming) {
            mStreaming = true;
            mResponse.beginStream(mHead.status(), mHead.headers());
            mResources.recordFirstEvent(now() - mCall.arrivedMilliseconds());
            releaseRequestBodyIfUnneeded();
        }
        mResponse.events(events);
        if (mResponse.isCongested()) {
            waitForCaller(attempt);
        } else if (mReceived.hasNewEvent()) {
            mSilenceTimer.restart(mStreaming);
        }
    }

    /** Stops reading the stream until the caller has read more of it. */
    private void waitForCaller(Attempt attempt) {
        attempt.pause();
        mSilenceTimer.cancel();
        mResponse.onDrained(mBoundary.around(() -> callerHasRead(attempt)));
    }

    private void callerHasRead(Attempt attempt) {
        if (!mEnded && mAttempt.filter(own -> own == attempt).isPresent()) {
            mSilenceTimer.restart(mStreaming);
            attempt.resume();
        }
    }

    @Override
    public void bodySent(Attempt attempt) {
        releaseRequestBodyIfUnneeded();
    }

    /** Releases the body unless another attempt may have to send it. */
    private void releaseRequestBodyIfUnneeded() {
        boolean mayBeSentAgain =
                !mHistory.isLastAttempt() && (!mStreaming || mCall.route().resumable());
        if (mEnded || !mayBeSentAgain) {
            mFingerprint.bodyReleased();
            mRequestBody.release();
        }
    }

    @Override
    public void ended(Attempt attempt) {
        if (mHead.isStream()) {
            if (mReceived.hasPartialEvent()) {
                aborted(
                        attempt,
                        AttemptOutcome.BROKEN,
                        "the stream ended in the middle of an event");
            } else {
                endCompleteStream(attempt);
            }
            return;
        }
        String cause = "the endpoint responded with status " + mHead.status();
        if (mHead.statesNotRun()) {
            aborted(attempt, AttemptOutcome.NOT_RUN, cause);
        } else if (mHead.isServerError() && mHistory.mayRetryServerError()) {
            aborted(attempt, AttemptOutcome.FAILED, cause);
        } else {
            answered(attempt);
            sendCompleteResponse();
        }
    }

    private void answered(Attempt attempt) {
        mHistory.mayHaveRunAt(attempt);
        endAttempt(attempt);
        mResources.selector().succeeded(attempt.endpoint());
        recordOutcome(attempt, !mHead.isServerError());
        if (!mHead.isError()) {
            mReports.promptServed();
        }
    }

    private void endCompleteStream(Attempt attempt) {
        answered(attempt);
        if (mStreaming) {
            mResponse.endStream();
            finish("answered", mHead.status());
        } else {
            sendCompleteResponse();
        }
    }

    /** Sends the response, which takes memory until the caller has got it. */
    private void sendCompleteResponse() {
        Future<Void> sent = mResponse.complete(mHead.status(), mHead.headers(), mReceived.body());
        mSendingResponse = true;
        sent.onComplete(ignored -> mReceived.discard());
        finish("answered", mHead.status());
    }

    @Override
    public void aborted(Attempt attempt, AttemptOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        boolean isWaiting = !attempt.isPromptRead() && !mStreaming;
        mHistory.failed(outcome);
        endAttempt(attempt);
        mReports.attemptFailed(attempt.endpoint(), outcome, isWaiting);
        if (outcome == AttemptOutcome.NOT_RUN) {
            mResources.selector().refused(attempt.endpoint(), now());
        } else if (outcome != AttemptOutcome.WITHDRAWN) {
            mResources.selector().failed(attempt.endpoint(), now());
        }
        if (outcome.mayHaveRun()) {
            recordOutcome(attempt, false);
        }
        mLog.attemptFailed(attempt.endpoint(), outcome, cause, isWaiting, mHistory.sent(), now());
        boolean willRetry =
                mHistory.mayRetryAfter(outcome)
                        && now() < mCall.deadlineMilliseconds()
                        && (!outcome.isSent() || mResources.retries().tryTake(mCall.service()));
        if (willRetry) {
            sendToNextEndpoint();
        } else {
            fail(
                    AttemptPolicy.failure(outcome, mHistory.mayHaveRun()),
                    cause,
                    RETRY_AFTER_MILLISECONDS);
        }
    }

    private void recordOutcome(Attempt attempt, boolean isSuccess) {
        long firstEventMilliseconds = mTiming.attemptFirstEventMilliseconds(now());
        mReports.outcome(attempt.endpoint(), isSuccess, firstEventMilliseconds);
    }

    private void promptRead(Attempt attempt) {
        if (attempt.markPromptRead()) {
            mResources.selector().promptRead(attempt.endpoint(), attempt.tokensToRead());
        }
    }

    private void endAttempt(Attempt attempt) {
        mAttempt = Optional.empty();
        promptRead(attempt);
        mResources.selector().ended(attempt.endpoint());
    }

    private void handleSilence() {
        if (mEnded || mAttempt.isEmpty()) {
            return;
        }
        if (mHistory.mayRetryIfCurrentEndsWith(AttemptOutcome.SILENT)) {
            stop(mAttempt.get(), AttemptOutcome.SILENT, "the endpoint was silent");
        }
    }

    private void timedOut() {
        mAttempt.ifPresent(mHistory::mayHaveRunAt);
        ErrorKind kind = mHistory.mayHaveRun() ? ErrorKind.ENDPOINT_TIMEOUT : ErrorKind.OVERLOADED;
        fail(kind, "the deadline of the call has passed", RETRY_AFTER_MILLISECONDS);
    }

    /** Ends the call after an exception. The caller learns whether the call may have run. */
    void stepFailed() {
        mAttempt.ifPresent(mHistory::mayHaveRunAt);
        fail(
                mHistory.mayHaveRun() ? ErrorKind.INTERNAL : ErrorKind.INTERNAL_NOT_RUN,
                "a step of the call failed",
                RETRY_AFTER_MILLISECONDS);
    }

    private void fail(ErrorKind kind, String detail, long retryAfterMilliseconds) {
        if (mEnded) {
            return;
        }
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
                () -> mAttempt.ifPresent(Attempt::stop),
                () -> mAttempt.ifPresent(this::endAttempt),
                () -> mResources.vertx().cancelTimer(mTimeoutTimer),
                mSilenceTimer::cancel,
                this::releaseRequestBodyIfUnneeded,
                this::discardUnlessSending,
                () -> mReservation.ifPresent(number -> mResources.gate().cancel(number, now())),
                mOnEnd,
                () -> record(outcome, status));
    }

    private void discardUnlessSending() {
        if (!mSendingResponse) {
            mReceived.discard();
        }
    }

    private void record(String outcome, int status) {
        mResources.metrics().counter("gateway_calls_" + outcome).inc();
        mLog.ended(
                new CallLog.End(
                        outcome,
                        status,
                        mHistory.sent(),
                        mHistory.tried(),
                        mLastChoice,
                        mTiming,
                        mResources.selector().ageMilliseconds(now())),
                now());
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
