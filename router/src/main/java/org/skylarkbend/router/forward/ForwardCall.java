package org.skylarkbend.router.forward;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import java.util.Optional;
import java.util.function.Predicate;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.RunState;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.exchange.ExchangeEvent;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.forwarding.AttemptDecider;
import org.skylarkbend.forwarding.AttemptDecision;
import org.skylarkbend.forwarding.AttemptEffect;
import org.skylarkbend.forwarding.AttemptId;
import org.skylarkbend.forwarding.AttemptMessage;
import org.skylarkbend.forwarding.AttemptPhase;
import org.skylarkbend.forwarding.AttemptState;
import org.skylarkbend.forwarding.StreamEffect;
import org.skylarkbend.forwarding.StreamState;
import org.skylarkbend.forwarding.ledger.CallOutcome;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.publishing.EndpointKind;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;

/**
 * A running call, from its admission to its response. It executes the effects of the attempt
 * decider and the stream decider.
 */
final class ForwardCall {
    private final Call mCall;
    private final ForwardResources mResources;
    private final EndpointRequests mRequests;
    private final CallOwner mOwner;
    private final long mStartedMilliseconds;
    private final ResponseBuffer mBuffer;
    private final KeptConnection mKept = new KeptConnection();
    private AttemptState mState;
    private Optional<EngineStream> mStream = Optional.empty();
    private Endpoint mEndpoint;
    private EndpointExchange mExchange;
    private ReceivedHead mHead;
    private Span mSpan = Span.getInvalid();
    private Context mTrace;
    private long mSentMilliseconds;
    private boolean mPaused;
    private String mAttempt = "";
    private boolean mAborting;
    private boolean mFinished;
    private Optional<CallOutcome> mAbortOutcome = Optional.empty();

    ForwardCall(Call call, ForwardResources resources, CallOwner owner) {
        mCall = call;
        mResources = resources;
        mRequests = new EndpointRequests(resources.endpointCredential(), resources.propagator());
        mOwner = owner;
        mBuffer =
                new ResponseBuffer(
                        resources.bounds().maxResponseBytes(), resources.responseMemory());
        mState = AttemptState.waiting(call.id(), call.traits());
        mTrace = call.trace();
        mStartedMilliseconds = resources.clock().nowMilliseconds();
    }

    Call call() {
        return mCall;
    }

    boolean isSent() {
        return mState.anyMayHaveRun();
    }

    long startedMilliseconds() {
        return mStartedMilliseconds;
    }

    /** Returns the token usage reported by the engine, or an estimate from the events received. */
    Optional<TokenUsage> usage() {
        Optional<TokenUsage> reported = mStream.flatMap(EngineStream::usage);
        if (reported.isPresent() || mCall.chat().isEmpty()) {
            return reported;
        }
        return mBuffer.usageSoFar(mCall.chat().get());
    }

    void begin() {
        apply(new AttemptMessage.Admitted());
    }

    /** Aborts the call without a response to the caller. */
    void abort() {
        CallOutcome outcome = outcomeWithoutResponse();
        mAborting = true;
        apply(new AttemptMessage.Cancelled());
        finish(outcome, 0);
    }

    /** Aborts the call and sends the error to the caller. */
    void abort(SkylarkError error) {
        mAbortOutcome = Optional.of(outcomeWithoutResponse());
        mAborting = true;
        apply(new AttemptMessage.Cancelled());
        fail(error);
    }

    void pause() {
        mPaused = true;
        if (mExchange != null) {
            mExchange.pause();
        }
        mKept.pause();
    }

    void resumeReading() {
        mPaused = false;
        if (mExchange != null) {
            mExchange.resumeReading();
        }
        mKept.resumeReading();
    }

    /** Checks the timeouts of the connection and of the whole call. */
    void checkTimeouts(long nowMilliseconds) {
        if (mState.isEnded() || mExchange == null) {
            return;
        }
        boolean isEngine = mCall.traits().kind() == EndpointKind.ENGINE;
        long timeoutMilliseconds = mResources.bounds().responseTimeoutMilliseconds();
        if (isEngine && nowMilliseconds - mStartedMilliseconds > timeoutMilliseconds) {
            abort(
                    new SkylarkError(
                            ErrorKind.ENDPOINT_TIMEOUT,
                            "the endpoint did not complete the response in time"));
        } else if (mStream.isPresent()) {
            checkStreamTimeout();
        } else if (!isEngine) {
            checkServiceTimeouts(nowMilliseconds);
        }
    }

    private void checkStreamTimeout() {
        if (mExchange.idleMilliseconds() > mResources.bounds().silenceMilliseconds()) {
            boolean hasResponded = mExchange.hasResponded();
            mExchange.progressed();
            if (hasResponded) {
                mKept.keep(mExchange);
                mExchange = null;
                mStream.orElseThrow().keepConnection();
            }
            mStream.orElseThrow().silenceTimedOut(hasResponded, mKept.isPresent());
            if (mExchange == null && mKept.isPresent()) {
                returnToKept();
            }
        }
    }

    private void checkServiceTimeouts(long nowMilliseconds) {
        long boundMilliseconds =
                mState.mayReuseConnection() && mState.phase() == AttemptPhase.SENDING
                        ? mResources.bounds().silenceMilliseconds()
                        : mResources.bounds().serviceTimeoutMilliseconds();
        if (nowMilliseconds - mSentMilliseconds > boundMilliseconds) {
            apply(new AttemptMessage.SilenceTimedOut(mState.attempt()));
        }
    }

    private void apply(AttemptMessage message) {
        AttemptDecision decision = AttemptDecider.decide(mState, mOwner.budget(), message);
        mState = decision.state();
        mOwner.replaceBudget(decision.budget());
        Effects.executeEach(decision.effects(), this::execute);
    }

    private void execute(AttemptEffect effect) {
        if (effect instanceof AttemptEffect.ChooseEndpoint choose) {
            choose(choose);
        } else if (effect instanceof AttemptEffect.Send send) {
            send(send);
        } else if (effect instanceof AttemptEffect.Deliver) {
            deliver();
        } else if (effect instanceof AttemptEffect.Abandon) {
            abandon();
        } else if (effect instanceof AttemptEffect.Cancel cancel) {
            cancel(cancel.attempt());
        } else if (effect instanceof AttemptEffect.Fail fail) {
            fail(fail.error());
        }
    }

    private void choose(AttemptEffect.ChooseEndpoint choose) {
        Optional<Endpoint> chosen = mOwner.choose(mCall, choose.tried());
        chosen.ifPresent(endpoint -> mEndpoint = endpoint);
        apply(
                chosen.isPresent()
                        ? new AttemptMessage.EndpointChosen(mEndpoint.name())
                        : new AttemptMessage.NoEndpointLeft());
    }

    private void send(AttemptEffect.Send send) {
        startSpan(send.attempt());
        mAttempt = send.attempt().value();
        mResources.metrics().countAttempt();
        mHead = null;
        mBuffer.startAttempt();
        mSentMilliseconds = mResources.clock().nowMilliseconds();
        if (mCall.chat().map(chat -> chat.requestsEngineStream()).orElse(false)) {
            openStream(send.attempt());
        }
        EndpointClient client =
                send.onNewConnection()
                        ? mResources.newConnectionClient()
                        : mResources.pooledClient();
        EndpointRequest request =
                mRequests.ofCall(
                        mCall, send.attempt(), mEndpoint, mOwner.cacheScope(mCall), mTrace);
        mOwner.sent(mCall, mAttempt, mEndpoint.name());
        exchange(client, request, otherResponses(send), false);
    }

    /**
     * Returns which responses are skipped. Only on a connection that was used before can a response
     * to another attempt be a late one, which its own may follow.
     */
    private static Predicate<ResponseStart> otherResponses(AttemptEffect.Send send) {
        return send.onNewConnection()
                ? start -> false
                : start -> ReceivedHead.isOfOtherAttempt(start, send.attempt());
    }

    private void openStream(AttemptId attempt) {
        if (mStream.isEmpty()) {
            boolean repeatable = mCall.chat().orElseThrow().repeatable();
            mStream =
                    Optional.of(
                            new EngineStream(
                                    StreamState.opening(attempt, repeatable),
                                    mResources.bounds().maxResponseBytes(),
                                    this::progressed,
                                    this::deliverEvent,
                                    this::execute));
        }
        mStream.get().openedConnection(attempt);
    }

    private void progressed() {
        if (mExchange != null) {
            mExchange.progressed();
        }
    }

    private void exchange(
            EndpointClient client,
            EndpointRequest request,
            Predicate<ResponseStart> isOtherResponse,
            boolean isResume) {
        EndpointExchange[] self = new EndpointExchange[1];
        self[0] =
                new EndpointExchange(
                        mResources.clock(),
                        request,
                        isOtherResponse,
                        event -> {
                            if (self[0] == mExchange) {
                                handle(event, isResume);
                            } else if (mKept.is(self[0])) {
                                handleKept(event);
                            }
                        });
        mExchange = self[0];
        if (mPaused) {
            mExchange.pause();
        }
        mExchange.open(client);
    }

    private void handle(ExchangeEvent event, boolean isResume) {
        if (event instanceof ExchangeEvent.NotConnected failure) {
            notConnected(failure.cause(), isResume);
        } else if (event instanceof ExchangeEvent.Rejected rejected) {
            notConnected(rejected.cause(), isResume);
        } else if (event instanceof ExchangeEvent.Sending && !isResume) {
            apply(new AttemptMessage.Sending(mState.attempt()));
        } else if (event instanceof ExchangeEvent.HeadReceived head) {
            handleHead(ReceivedHead.of(head.start()), isResume);
        } else if (event instanceof ExchangeEvent.ChunkReceived chunk) {
            handleChunk(chunk.chunk().getBytes());
        } else if (event instanceof ExchangeEvent.Ended) {
            ended();
        } else if (event instanceof ExchangeEvent.Lost lost) {
            lost(lost.cause());
        }
    }

    /** Handles a silent connection that goes on, or ends, before the attempt was resumed. */
    private void handleKept(ExchangeEvent event) {
        if (event instanceof ExchangeEvent.ChunkReceived chunk) {
            mStream.orElseThrow().keptBytesReceived(chunk.chunk().getBytes(), this::returnToKept);
        } else {
            mKept.abandon();
        }
    }

    private void returnToKept() {
        abandonExchange();
        mExchange = mKept.take();
        mStream.orElseThrow().returnToKept();
        progressed();
    }

    private void resumeRefused(String cause) {
        mStream.orElseThrow().resumeRefused(cause, mKept.isPresent());
        if (mKept.isPresent() && !mFinished) {
            returnToKept();
        }
    }

    private void notConnected(String cause, boolean isResume) {
        if (isResume) {
            resumeRefused(cause);
        } else {
            apply(new AttemptMessage.NotConnected(mState.attempt(), cause));
        }
    }

    private void handleHead(ReceivedHead head, boolean isResume) {
        boolean resumed = head.isEventStream() && head.head().belongsTo(mState.attempt());
        if (isResume && !resumed) {
            resumeRefused("the endpoint cannot resume the attempt");
            return;
        }
        mKept.abandon();
        mHead = head;
        apply(new AttemptMessage.HeadReceived(mState.attempt(), head.head()));
    }

    private boolean isStreaming() {
        return mStream.isPresent() && (mHead == null || mHead.isEventStream());
    }

    private void handleChunk(byte[] chunk) {
        if (isStreaming()) {
            mStream.orElseThrow().bytesReceived(chunk);
            return;
        }
        progressed();
        if (!mBuffer.appendChunk(chunk)) {
            abort(tooLarge());
        }
    }

    private void ended() {
        if (isStreaming()) {
            mStream.orElseThrow().interrupted("the stream ended before its end marker");
        } else if (mHead.isFramed()) {
            apply(new AttemptMessage.ResponseReceived(mState.attempt(), mBuffer.bodyBytes()));
        } else {
            lost("the response has neither a content length nor a transfer encoding");
        }
    }

    private void lost(String cause) {
        if (mKept.isPresent()) {
            resumeRefused(cause);
        } else if (isStreaming()) {
            mStream.orElseThrow().interrupted(cause);
        } else {
            apply(new AttemptMessage.ConnectionLost(mState.attempt(), cause));
        }
    }

    private void execute(StreamEffect effect) {
        if (effect instanceof StreamEffect.Resume resume) {
            resume(resume);
        } else if (effect instanceof StreamEffect.StartNewAttempt restart) {
            apply(new AttemptMessage.ConnectionLost(restart.attempt(), restart.cause()));
        } else if (effect instanceof StreamEffect.CompleteResponse complete) {
            apply(new AttemptMessage.ResponseReceived(complete.attempt(), 1));
        } else if (effect instanceof StreamEffect.Fail fail) {
            abort(fail.error());
        }
    }

    private void resume(StreamEffect.Resume resume) {
        mResources.metrics().countResume();
        mSpan.addEvent("resume");
        abandonExchange();
        mStream.orElseThrow().openedConnection(resume.attempt());
        exchange(
                mResources.newConnectionClient(),
                mRequests.ofResume(
                        mCall, resume.attempt(), mEndpoint, resume.afterPosition(), mTrace),
                start -> false,
                true);
    }

    private void deliverEvent(SseEvent event) {
        if (mFinished) {
            return;
        }
        if (mBuffer.countEvent()) {
            long nowMilliseconds = mResources.clock().nowMilliseconds();
            mResources
                    .metrics()
                    .recordFirstEventDelay(nowMilliseconds - mCall.arrivedMilliseconds());
            mOwner.firstTokenReceived(mCall, mAttempt);
        }
        if (mCall.chat().orElseThrow().streamed()) {
            mResources.responses().accept(new ResponseMessage.Event(mCall.id(), event.toBytes()));
            return;
        }
        if (!mBuffer.appendEvent(event)) {
            abort(tooLarge());
        }
    }

    private static SkylarkError tooLarge() {
        return new SkylarkError(ErrorKind.ENDPOINT_FAILED, "the response is too large");
    }

    private void deliver() {
        mSpan.setAttribute("status", mHead.head().status());
        mSpan.end();
        mOwner.attemptSucceeded(
                mAttempt,
                mEndpoint.name(),
                mStream.flatMap(EngineStream::usage).map(TokenUsage::cachedTokens).orElse(0L));
        mResources.responses().accept(response());
        finish(CallOutcome.RAN, mHead.head().status());
    }

    private ResponseMessage response() {
        if (!isStreaming()) {
            return new ResponseMessage.Full(
                    mCall.id(), mHead.head().status(), mHead.headers(), mBuffer.body());
        }
        if (mCall.chat().orElseThrow().streamed()) {
            return new ResponseMessage.Complete(mCall.id());
        }
        byte[] joined = mBuffer.joinedEvents();
        return new ResponseMessage.Full(
                mCall.id(), mHead.head().status(), EngineEventCodec.JSON_HEADERS, joined);
    }

    private void fail(SkylarkError error) {
        if (mFinished) {
            return;
        }
        mResources.metrics().countFailure(error.kind());
        mResources.responses().accept(new ResponseMessage.Failed(mCall.id(), error, 0));
        boolean notRun = error.kind().runState() == RunState.NOT_RUN;
        finish(mAbortOutcome.orElse(notRun ? CallOutcome.NOT_RUN : CallOutcome.IN_DOUBT), 0);
    }

    private void finish(CallOutcome outcome, int httpStatus) {
        if (!mFinished) {
            mFinished = true;
            mOwner.callEnded(this, outcome, httpStatus);
            mBuffer.release();
        }
    }

    /** Returns the outcome of a call that has no complete response. */
    private CallOutcome outcomeWithoutResponse() {
        return mState.anyMayHaveRun() ? CallOutcome.IN_DOUBT : CallOutcome.NOT_RUN;
    }

    private void cancel(AttemptId attempt) {
        new EndpointExchange(
                        mResources.clock(),
                        mRequests.ofCancel(attempt, mEndpoint, mTrace),
                        start -> false,
                        event -> {})
                .open(mResources.newConnectionClient());
    }

    private void abandon() {
        mSpan.setStatus(StatusCode.ERROR);
        mSpan.end();
        mOwner.attemptEnded(mAttempt, mEndpoint.name(), !mAborting);
        abandonExchange();
        mKept.abandon();
    }

    private void abandonExchange() {
        if (mExchange != null) {
            mExchange.abandon();
            mExchange = null;
        }
    }

    private void startSpan(AttemptId attempt) {
        mSpan = mResources.startAttemptSpan(mCall.trace(), attempt, mEndpoint);
        mTrace = mCall.trace().with(mSpan);
    }
}
