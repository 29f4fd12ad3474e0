package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.endpoints.PriorAttempts;
import org.skylarkbend.gateway.limits.TokenGate;

/**
 * Call in progress, from its admission to the end of the response. It is confined to the task that
 * serves the calls, and owns its timers and the current attempt.
 */
public final class GatewayCall implements Attempt.Listener, TokenGate.Caller {
    /** Timeout for opening a connection to an endpoint. */
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 250;

    /** Maximum size of a response body that is kept until it is complete. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /** Maximum size of an event, and of the chunk that completes it. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    /** An engine that goes on sending events for this time has survived the prompt. */
    private static final long SURVIVED_MILLISECONDS = 500;

    private static final long RETRY_AFTER_MILLISECONDS = 100;
    private static final int OK = 200;
    private static final int MIN_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final String SHARED_CACHE_SCOPE = "shared";

    private final CallRequest mCall;
    private final CallResources mResources;
    private final CallerResponse mResponse;
    private final Runnable mOnEnd;
    private final CallFingerprint mFingerprint;
    private final CallLog mLog;
    private final EndpointReports mReports;
    private final Set<String> mTriedIncarnations = new HashSet<>();
    private final EventSplitter mEvents = new EventSplitter();
    private final StreamTiming mTiming;
    private final SilenceTimer mSilenceTimer;
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<EngineChoice> mLastChoice = Optional.empty();
    private OptionalLong mReservation = OptionalLong.empty();
    private long mTimeoutTimer = -1;
    private int mSent;
    private int mConnectFailures;
    private boolean mMayHaveRun;
    private boolean mStreaming;
    private boolean mEnded;
    private HttpClientResponse mHead;
    private Buffer mBody = Buffer.buffer();

    /**
     * Creates a call that has not started.
     *
     * @param call the admitted call
     * @param resources resources shared by all calls
     * @param response response to the caller
     * @param onEnd run once when the call has ended
     */
    public GatewayCall(
            CallRequest call, CallResources resources, CallerResponse response, Runnable onEnd) {
        mCall = call;
        mResources = resources;
        mResponse = response;
        mOnEnd = onEnd;
        mFingerprint = new CallFingerprint(call);
        mLog = new CallLog(call, mFingerprint);
        mReports = new EndpointReports(call, mFingerprint, resources);
        mTiming = new StreamTiming(call.arrivedMilliseconds());
        mSilenceTimer = new SilenceTimer(resources.vertx(), call.route(), this::handleSilence);
    }

    /**
     * Starts the call. If the customer has a rate limit, the call is sent once its tokens are
     * granted.
     */
    public void start() {
        if (isQuarantined()) {
            refuseQuarantined();
            return;
        }
        long waitMilliseconds = Math.max(1, mCall.deadlineMilliseconds() - now());
        mTimeoutTimer = mResources.vertx().setTimer(waitMilliseconds, id -> timedOut());
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
            sendToNextEndpoint();
        }
    }

    @Override
    public void refused(long retryAfterMilliseconds) {
        fail(
                ErrorKind.RATE_EXCEEDED,
                "the rate limit of the customer is exceeded",
                retryAfterMilliseconds);
    }

    /** Handles the disconnection of the caller. */
    public void callerDisconnected() {
        if (!mEnded) {
            finish("caller_left", 0);
        }
    }

    /** Handles the loss of an endpoint that accepts no more connections. */
    public void endpointLost(Endpoint endpoint) {
        boolean isAffected =
                mAttempt.map(Attempt::endpoint)
                        .filter(own -> own.incarnation().equals(endpoint.incarnation()))
                        .isPresent();
        if (isAffected) {
            handleSilence();
        }
    }

    /**
     * Ends the call because the gateway shuts down and cannot wait any longer. The caller learns
     * whether the call may have run.
     */
    public void gatewayStopping() {
        boolean mayHaveRun = mMayHaveRun || mAttempt.map(Attempt::isSent).orElse(false);
        fail(
                mayHaveRun ? ErrorKind.ENDPOINT_FAILED : ErrorKind.ROUTER_DRAINING,
                "the gateway is shutting down",
                RETRY_AFTER_MILLISECONDS);
    }

    /**
     * Handles a change of the quarantined parts. A call that waits at an engine is taken back if it
     * would crash the engine.
     */
    public void quarantineChanged() {
        boolean isWaiting = mAttempt.filter(attempt -> !attempt.isPromptRead()).isPresent();
        if (!mEnded && isWaiting && isQuarantined()) {
            mMayHaveRun |= mAttempt.map(Attempt::isSent).orElse(false);
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
                mMayHaveRun ? ErrorKind.ENDPOINT_FAILED : ErrorKind.PROMPT_QUARANTINED,
                "a part of the prompt crashes engines",
                remainingMilliseconds);
    }

    private void sendToNextEndpoint() {
        if (isQuarantined()) {
            refuseQuarantined();
            return;
        }
        Optional<EngineChoice> chosen = choose();
        if (chosen.isEmpty()) {
            ErrorKind kind = mMayHaveRun ? ErrorKind.ENDPOINT_FAILED : ErrorKind.NO_ENDPOINT;
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
        mTriedIncarnations.add(endpoint.incarnation());
        Attempt attempt = new Attempt(chosen.get(), this);
        mAttempt = Optional.of(attempt);
        mBody = Buffer.buffer();
        mEvents.discardPartial();
        mTiming.attemptStarted(now());
        mResources.outcomes().sent(endpoint);
        mResources.selector().sent(endpoint, attempt.tokensToRead(), now());
        attempt.start(
                mResources.client(),
                mCall,
                mResources.names(),
                Urgency.of(mCall, chosen.get()),
                cacheScope(),
                mEvents.lastEventId(),
                CONNECT_TIMEOUT_MILLISECONDS,
                Math.max(1, mCall.deadlineMilliseconds() - now()));
        mSilenceTimer.restart(mStreaming);
    }

    private Optional<EngineChoice> choose() {
        PriorAttempts priorAttempts =
                new PriorAttempts(mTriedIncarnations, mSent + 1 >= mCall.route().maxAttempts());
        if (mCall.prompt().isEmpty()) {
            return mResources.selector().choose(mCall.service(), priorAttempts, now());
        }
        return mResources
                .selector()
                .choose(mCall.service(), mCall.prompt().get(), cacheScope(), priorAttempts, now());
    }

    /**
     * Returns the cache scope of the call. Isolated customers share no cached prompt parts with
     * others.
     */
    private String cacheScope() {
        return mCall.customer()
                .filter(Customer::isolated)
                .map(customer -> "only-" + customer.name())
                .orElse(SHARED_CACHE_SCOPE);
    }

    @Override
    public boolean isStillWanted(Attempt attempt) {
        return mResources.selector().acceptsCalls(attempt.endpoint(), now()) && !isQuarantined();
    }

    @Override
    public void headReceived(Attempt attempt, HttpClientResponse head) {
        mHead = head;
        mResources.selector().responded(attempt.endpoint(), now());
        mReports.loadReceived(attempt.endpoint(), head);
        mSilenceTimer.restart(mStreaming);
        String id = head.getHeader(mResources.names().requestId());
        boolean isOk = head.statusCode() < MIN_ERROR_STATUS;
        // A response without ID may be an earlier one that the endpoint sent again. Even its
        // statement that the call did not run cannot be trusted.
        boolean isForThisCall = mCall.id().isEmpty() ? id == null && !isOk : mCall.id().equals(id);
        boolean isSealed = head.getHeader(mResources.names().seal()) != null;
        if (isForThisCall) {
            mReports.responded(attempt.endpoint(), head);
        }
        if (!isForThisCall || isOk && !isSealed) {
            attempt.stop();
            aborted(
                    attempt,
                    AttemptOutcome.BROKEN,
                    "the response has another request ID or no seal");
        } else if (mStreaming && head.statusCode() != OK) {
            attempt.stop();
            aborted(
                    attempt,
                    hasHeader(mResources.names().notRun())
                            ? AttemptOutcome.NOT_RUN
                            : AttemptOutcome.FAILED,
                    "the endpoint did not resume the stream: status " + head.statusCode());
        }
    }

    @Override
    public void chunk(Attempt attempt, Buffer chunk) {
        mResources.selector().responded(attempt.endpoint(), now());
        boolean isStream = isStreamResponse();
        int keptBytes = isStream ? mEvents.pendingBytes() : mBody.length();
        if (keptBytes + chunk.length() > (isStream ? MAX_EVENT_BYTES : MAX_BODY_BYTES)) {
            attempt.stop();
            aborted(attempt, AttemptOutcome.BROKEN, "the response is too large");
            return;
        }
        if (isStream) {
            Buffer events = mEvents.feed(chunk);
            if (events.length() > 0) {
                mSilenceTimer.restart(mStreaming);
                mTiming.eventsArrived(now());
                promptRead(attempt);
                if (mTiming.attemptStreamMilliseconds(now()) >= SURVIVED_MILLISECONDS) {
                    mReports.promptServed();
                }
                forward(events);
            }
        } else {
            mSilenceTimer.restart(mStreaming);
            mBody.appendBuffer(chunk);
        }
    }

    private boolean isStreamResponse() {
        return mCall.route().kind() == CallKind.STREAM && mHead.statusCode() < MIN_ERROR_STATUS;
    }

    private void forward(Buffer events) {
        if (!mStreaming) {
            mStreaming = true;
            mResponse.beginStream(mHead.statusCode(), mHead.headers());
            mResources
                    .metrics()
                    .histogram("gateway_first_event_milliseconds")
                    .update(now() - mCall.arrivedMilliseconds());
        }
        mResponse.events(events);
    }

    @Override
    public void ended(Attempt attempt) {
        if (isStreamResponse()) {
            if (mEvents.hasPartial()) {
                aborted(
                        attempt,
                        AttemptOutcome.BROKEN,
                        "the stream ended in the middle of an event");
            } else {
                endCompleteStream(attempt);
            }
            return;
        }
        int status = mHead.statusCode();
        if (status >= MIN_ERROR_STATUS && hasHeader(mResources.names().notRun())) {
            aborted(
                    attempt,
                    AttemptOutcome.NOT_RUN,
                    "the endpoint responded with status " + status);
        } else if (status >= MIN_SERVER_ERROR_STATUS && mayRetryFault()) {
            aborted(attempt, AttemptOutcome.FAILED, "the endpoint responded with status " + status);
        } else {
            endAttempt(attempt);
            mResources.selector().succeeded(attempt.endpoint());
            recordOutcome(attempt, status < MIN_SERVER_ERROR_STATUS);
            if (status < MIN_ERROR_STATUS) {
                mReports.promptServed();
            }
            mMayHaveRun = true;
            mResponse.complete(status, mHead.headers(), mBody);
            finish("answered", status);
        }
    }

    private void endCompleteStream(Attempt attempt) {
        endAttempt(attempt);
        mReports.promptServed();
        mMayHaveRun = true;
        mResources.selector().succeeded(attempt.endpoint());
        recordOutcome(attempt, true);
        if (mStreaming) {
            mResponse.endStream();
        } else {
            mResponse.complete(mHead.statusCode(), mHead.headers(), mBody);
        }
        finish("answered", mHead.statusCode());
    }

    private boolean mayRetryFault() {
        return mCall.route().mayRunAgain()
                && AttemptPolicy.mayRetry(
                        mCall.route(), mSent + 1, mConnectFailures, AttemptOutcome.FAILED);
    }

    @Override
    public void aborted(Attempt attempt, AttemptOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        boolean isWaiting = !attempt.isPromptRead() && !mStreaming;
        endAttempt(attempt);
        mReports.attemptFailed(attempt.endpoint(), outcome, isWaiting);
        if (outcome == AttemptOutcome.NOT_RUN) {
            mResources.selector().refused(attempt.endpoint(), now());
        } else if (outcome != AttemptOutcome.WITHDRAWN) {
            mResources.selector().failed(attempt.endpoint(), now());
        }
        mMayHaveRun |= outcome.mayHaveRun();
        if (outcome.mayHaveRun()) {
            recordOutcome(attempt, false);
        }
        mConnectFailures += outcome.isSent() ? 0 : 1;
        mSent += outcome.isSent() ? 1 : 0;
        mLog.attemptFailed(attempt.endpoint(), outcome, cause, isWaiting, mSent, now());
        boolean willRetry =
                AttemptPolicy.mayRetry(mCall.route(), mSent, mConnectFailures, outcome)
                        && now() < mCall.deadlineMilliseconds()
                        && (!outcome.isSent() || mResources.retries().tryTake(mCall.service()));
        if (willRetry) {
            sendToNextEndpoint();
        } else {
            fail(AttemptPolicy.failure(outcome, mMayHaveRun), cause, RETRY_AFTER_MILLISECONDS);
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
        promptRead(attempt);
        mResources.selector().ended(attempt.endpoint());
        mAttempt = Optional.empty();
    }

    private boolean hasHeader(String name) {
        MultiMap headers = mHead.headers();
        return headers.contains(name);
    }

    private void handleSilence() {
        if (mEnded || mAttempt.isEmpty()) {
            return;
        }
        boolean mayRetryElsewhere =
                AttemptPolicy.mayRetry(
                        mCall.route(), mSent + 1, mConnectFailures, AttemptOutcome.SILENT);
        if (mayRetryElsewhere) {
            Attempt attempt = mAttempt.get();
            attempt.stop();
            aborted(attempt, AttemptOutcome.SILENT, "the endpoint was silent");
        }
    }

    private void timedOut() {
        if (mEnded) {
            return;
        }
        boolean sent = mAttempt.map(Attempt::isSent).orElse(false) || mMayHaveRun;
        ErrorKind kind = sent ? ErrorKind.ENDPOINT_TIMEOUT : ErrorKind.OVERLOADED;
        fail(kind, "the deadline of the call has passed", RETRY_AFTER_MILLISECONDS);
    }

    private void fail(ErrorKind kind, String detail, long retryAfterMilliseconds) {
        if (mEnded) {
            return;
        }
        if (mStreaming) {
            mResponse.abortStream();
        } else {
            mResponse.failure(kind, detail, retryAfterMilliseconds);
        }
        finish(kind.code(), kind.httpStatus());
    }

    private void finish(String outcome, int status) {
        mEnded = true;
        mAttempt.ifPresent(
                attempt -> {
                    attempt.stop();
                    endAttempt(attempt);
                });
        mResources.vertx().cancelTimer(mTimeoutTimer);
        mSilenceTimer.cancel();
        mReservation.ifPresent(number -> mResources.gate().cancel(number, now()));
        mResources.metrics().counter("gateway_calls_" + outcome).inc();
        mLog.ended(
                new CallLog.End(
                        outcome,
                        status,
                        mSent,
                        mTriedIncarnations.size(),
                        mLastChoice,
                        mTiming,
                        mResources.selector().ageMilliseconds(now())),
                now());
        mOnEnd.run();
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
