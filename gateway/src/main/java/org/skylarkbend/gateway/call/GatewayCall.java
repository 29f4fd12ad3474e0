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
import org.skylarkbend.gateway.endpoints.Tries;
import org.skylarkbend.gateway.limits.TokenGate;

/**
 * Call in progress, from its admission to the end of the response. It is confined to the task that
 * serves the calls, and owns its timers and the current attempt.
 */
public final class GatewayCall implements Attempt.Listener, TokenGate.Caller {
    /** Timeout for opening a connection to an endpoint. */
    private static final long CONNECT_MILLISECONDS = 250;

    /**
     * Timeout between two events of a resumable stream. After it the stream resumes at another
     * endpoint.
     */
    private static final long STREAM_SILENCE_MILLISECONDS = 1_500;

    /**
     * Timeout for the first event of a resumable stream. It is longer because an engine may process
     * other prompts first; endpoint probes detect a lost engine sooner.
     */
    private static final long FIRST_EVENT_SILENCE_MILLISECONDS = 2_800;

    /**
     * A repeatable call is retried elsewhere after this multiple of the target latency of its
     * route.
     */
    private static final long REPEAT_AFTER_TARGETS = 3;

    private static final long SHORT_RETRY_AFTER_MILLISECONDS = 100;
    private static final int LOWEST_ERROR_STATUS = 400;
    private static final int LOWEST_FAULT_STATUS = 500;
    private static final String SHARED_SCOPE = "shared";

    private final CallRequest mCall;
    private final CallResources mResources;
    private final CallerAnswer mAnswer;
    private final Runnable mOnOver;
    private final CallLog mLog;
    private final Set<String> mTried = new HashSet<>();
    private final EventRelay mEvents = new EventRelay();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<EngineChoice> mLast = Optional.empty();
    private OptionalLong mGateNumber = OptionalLong.empty();
    private long mTimeoutTimer;
    private long mSilenceTimer = -1;
    private int mSent;
    private int mUnconnected;
    private boolean mMayHaveRun;
    private boolean mStreaming;
    private boolean mOver;
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
            CallRequest call, CallResources resources, CallerAnswer answer, Runnable onOver) {
        mCall = call;
        mResources = resources;
        mAnswer = answer;
        mOnOver = onOver;
        mLog = new CallLog(call);
    }

    /**
     * Starts the call. If the customer has a rate limit, the call is sent once its tokens are
     * granted.
     */
    public void start() {
        long waitMilliseconds = Math.max(1, mCall.answerByMilliseconds() - now());
        mTimeoutTimer = mResources.vertx().setTimer(waitMilliseconds, id -> timedOut());
        mResources.retries().called(mCall.service());
        String customer = mCall.customer().map(Customer::name).orElse("");
        if (mResources.gate().isLimited(customer)) {
            long number = mResources.gate().ask(customer, mCall.units(), this, now());
            mGateNumber = OptionalLong.of(number);
            if (mOver) {
                mResources.gate().giveUp(number, now());
            }
        } else {
            admitted();
        }
    }

    @Override
    public void admitted() {
        if (!mOver) {
            sendToNext();
        }
    }

    @Override
    public void refused(long retryAfterMilliseconds) {
        fail(ErrorKind.RATE_EXCEEDED, "the customer's limit is used up", retryAfterMilliseconds);
    }

    /** Handles the disconnection of the caller. */
    public void callerLeft() {
        if (!mOver) {
            over("caller_left", 0);
        }
    }

    /** Handles the loss of an endpoint that accepts no more connections. */
    public void endpointLost(Endpoint endpoint) {
        boolean isAffected =
                mAttempt.map(Attempt::endpoint)
                        .filter(own -> own.incarnation().equals(endpoint.incarnation()))
                        .isPresent();
        if (isAffected) {
            silent();
        }
    }

    private void sendToNext() {
        Optional<EngineChoice> chosen = choose();
        if (chosen.isEmpty()) {
            ErrorKind kind = mMayHaveRun ? ErrorKind.ENDPOINT_FAILED : ErrorKind.NO_ENDPOINT;
            fail(kind, "no endpoint is left to try", SHORT_RETRY_AFTER_MILLISECONDS);
            return;
        }
        Endpoint endpoint = chosen.get().endpoint();
        mLast = chosen;
        mTried.add(endpoint.incarnation());
        Attempt attempt = new Attempt(chosen.get(), this);
        mAttempt = Optional.of(attempt);
        mBody = Buffer.buffer();
        mEvents.dropPartial();
        mResources.board().sent(endpoint, attempt.tokensToRead(), now());
        attempt.start(
                mResources.client(),
                mCall,
                mResources.names(),
                Urgency.of(mCall, chosen.get()),
                cacheScope(),
                mEvents.lastEvent(),
                CONNECT_MILLISECONDS,
                Math.max(1, mCall.answerByMilliseconds() - now()));
        watchSilence();
    }

    private Optional<EngineChoice> choose() {
        Tries tries = new Tries(mTried, mSent + 1 >= mCall.route().maxAttempts());
        if (mCall.prompt().isEmpty()) {
            return mResources.board().choose(mCall.service(), tries, now());
        }
        return mResources
                .board()
                .choose(mCall.service(), mCall.prompt().get(), cacheScope(), tries, now());
    }

    /**
     * Returns the cache scope of the call. Isolated customers share no cached prompt parts with
     * others.
     */
    private String cacheScope() {
        return mCall.customer()
                .filter(Customer::isolated)
                .map(customer -> "only-" + customer.name())
                .orElse(SHARED_SCOPE);
    }

    @Override
    public void head(Attempt attempt, HttpClientResponse response) {
        mHead = response;
        mResources.board().heard(attempt.endpoint(), now());
        noteLoad(attempt, response);
        watchSilence();
        String id = response.getHeader(mResources.names().requestId());
        boolean isOk = response.statusCode() < LOWEST_ERROR_STATUS;
        boolean isOurs = mCall.id().equals(id) || id == null && !isOk;
        boolean isSealed = response.getHeader(mResources.names().seal()) != null;
        if (!isOurs || isOk && !isSealed) {
            attempt.stop();
            broke(attempt, AttemptOutcome.BROKEN, "the answer to another call came");
        }
    }

    @Override
    public void piece(Attempt attempt, Buffer piece) {
        mResources.board().heard(attempt.endpoint(), now());
        watchSilence();
        if (isStreamAnswer()) {
            Buffer events = mEvents.feed(piece);
            if (events.length() > 0) {
                promptRead(attempt);
                passOn(events);
            }
        } else {
            mBody.appendBuffer(piece);
        }
    }

    private boolean isStreamAnswer() {
        return mCall.route().kind() == CallKind.STREAM && mHead.statusCode() < LOWEST_ERROR_STATUS;
    }

    private void passOn(Buffer events) {
        if (!mStreaming) {
            mStreaming = true;
            mAnswer.beginStream(mHead.statusCode(), mHead.headers());
            mResources
                    .metrics()
                    .histogram("gateway_first_event_milliseconds")
                    .update(now() - mCall.arrivedMilliseconds());
        }
        mAnswer.events(events);
    }

    @Override
    public void ended(Attempt attempt) {
        if (isStreamAnswer()) {
            if (mEvents.hasPartial()) {
                broke(attempt, AttemptOutcome.BROKEN, "the stream ended within an event");
            } else {
                endWholeStream(attempt);
            }
            return;
        }
        int status = mHead.statusCode();
        if (status >= LOWEST_ERROR_STATUS && hasHeader(mResources.names().notRun())) {
            broke(attempt, AttemptOutcome.NOT_RUN, "the endpoint answered " + status);
        } else if (status >= LOWEST_FAULT_STATUS && mayRepeat()) {
            broke(attempt, AttemptOutcome.FAILED, "the endpoint answered " + status);
        } else {
            attemptOver(attempt);
            mResources.board().succeeded(attempt.endpoint());
            mMayHaveRun = true;
            mAnswer.whole(status, mHead.headers(), mBody);
            over("answered", status);
        }
    }

    private void endWholeStream(Attempt attempt) {
        attemptOver(attempt);
        mMayHaveRun = true;
        mResources.board().succeeded(attempt.endpoint());
        if (mStreaming) {
            mAnswer.endStream();
        } else {
            mAnswer.whole(mHead.statusCode(), mHead.headers(), mBody);
        }
        over("answered", mHead.statusCode());
    }

    private boolean mayRepeat() {
        return mCall.route().mayRunAgain()
                && AttemptPolicy.maySendAgain(
                        mCall.route(), mSent + 1, mUnconnected, AttemptOutcome.FAILED);
    }

    @Override
    public void broke(Attempt attempt, AttemptOutcome outcome, String cause) {
        if (mOver) {
            return;
        }
        attemptOver(attempt);
        if (outcome == AttemptOutcome.NOT_RUN) {
            mResources.board().refused(attempt.endpoint(), now());
        } else {
            mResources.board().failed(attempt.endpoint(), now());
        }
        mMayHaveRun |= outcome.mayHaveRun();
        boolean unconnected = outcome == AttemptOutcome.NOT_CONNECTED;
        mUnconnected += unconnected ? 1 : 0;
        mSent += unconnected ? 0 : 1;
        mLog.attemptFailed(attempt.endpoint(), outcome, cause, mSent, now());
        boolean again =
                AttemptPolicy.maySendAgain(mCall.route(), mSent, mUnconnected, outcome)
                        && now() < mCall.answerByMilliseconds()
                        && (unconnected || mResources.retries().take(mCall.service()));
        if (again) {
            sendToNext();
        } else {
            fail(
                    AttemptPolicy.failure(outcome, mMayHaveRun),
                    cause,
                    SHORT_RETRY_AFTER_MILLISECONDS);
        }
    }

    private void promptRead(Attempt attempt) {
        if (attempt.notePromptRead()) {
            mResources.board().promptRead(attempt.endpoint(), attempt.tokensToRead());
        }
    }

    private void attemptOver(Attempt attempt) {
        promptRead(attempt);
        mResources.board().ended(attempt.endpoint());
        mAttempt = Optional.empty();
    }

    private void noteLoad(Attempt attempt, HttpClientResponse response) {
        LoadHeader.read(response.getHeader(mResources.names().load()))
                .ifPresent(
                        load ->
                                mResources
                                        .board()
                                        .reported(
                                                attempt.endpoint(),
                                                load.running(),
                                                load.waiting(),
                                                now()));
    }

    private boolean hasHeader(String name) {
        MultiMap headers = mHead.headers();
        return headers.contains(name);
    }

    /**
     * Restarts the timer that sends the call to another endpoint if the current one is silent for
     * too long. Only repeatable calls and resumable streams have this timer.
     */
    private void watchSilence() {
        mResources.vertx().cancelTimer(mSilenceTimer);
        boolean isStream = mCall.route().kind() == CallKind.STREAM;
        if (isStream ? !mCall.route().resumable() : !mCall.route().mayRunAgain()) {
            return;
        }
        long silenceMilliseconds =
                isStream
                        ? (mStreaming
                                ? STREAM_SILENCE_MILLISECONDS
                                : FIRST_EVENT_SILENCE_MILLISECONDS)
                        : REPEAT_AFTER_TARGETS * mCall.route().targetMilliseconds();
        mSilenceTimer =
                mResources.vertx().setTimer(Math.max(1, silenceMilliseconds), id -> silent());
    }

    private void silent() {
        if (mOver || mAttempt.isEmpty()) {
            return;
        }
        boolean mayGoOn =
                AttemptPolicy.maySendAgain(
                        mCall.route(), mSent + 1, mUnconnected, AttemptOutcome.SILENT);
        if (mayGoOn) {
            Attempt attempt = mAttempt.get();
            attempt.stop();
            broke(attempt, AttemptOutcome.SILENT, "the endpoint was silent");
        }
    }

    private void timedOut() {
        if (mOver) {
            return;
        }
        boolean sent = mAttempt.map(Attempt::isSent).orElse(false) || mMayHaveRun;
        ErrorKind kind = sent ? ErrorKind.ENDPOINT_TIMEOUT : ErrorKind.OVERLOADED;
        fail(kind, "the time of the call is over", SHORT_RETRY_AFTER_MILLISECONDS);
    }

    private void fail(ErrorKind kind, String detail, long retryAfterMilliseconds) {
        if (mOver) {
            return;
        }
        if (mStreaming) {
            mAnswer.cutStream();
        } else {
            mAnswer.failure(kind, detail, retryAfterMilliseconds);
        }
        over(kind.code(), kind.httpStatus());
    }

    private void over(String outcome, int status) {
        mOver = true;
        mAttempt.ifPresent(
                attempt -> {
                    attempt.stop();
                    attemptOver(attempt);
                });
        mResources.vertx().cancelTimer(mTimeoutTimer);
        mResources.vertx().cancelTimer(mSilenceTimer);
        mGateNumber.ifPresent(number -> mResources.gate().giveUp(number, now()));
        mResources.metrics().counter("gateway_calls_" + outcome).inc();
        mLog.ended(
                new CallLog.End(
                        outcome,
                        status,
                        mSent,
                        mTried.size(),
                        mLast,
                        mResources.board().ageMilliseconds(now())),
                now());
        mOnOver.run();
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
