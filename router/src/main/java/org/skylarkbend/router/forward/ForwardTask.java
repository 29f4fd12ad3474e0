package org.skylarkbend.router.forward;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.access.WithdrawalPolicy;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.exchange.ExchangeOptions;
import org.skylarkbend.forwarding.AdmissionDecider;
import org.skylarkbend.forwarding.AdmissionEffect;
import org.skylarkbend.forwarding.AdmissionLimits;
import org.skylarkbend.forwarding.AdmissionMessage;
import org.skylarkbend.forwarding.RetryBudget;
import org.skylarkbend.forwarding.ledger.CallOutcome;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.placement.PlacementDecider;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.publishing.Route;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.Mailbox;
import org.skylarkbend.router.RouterBounds;
import org.skylarkbend.router.RouterSettings;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;
import org.skylarkbend.router.link.ServingView;
import org.skylarkbend.router.watch.WatchMessage;
import org.skylarkbend.usage.MonthNumbers;
import org.skylarkbend.usage.UsageLine;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;
import org.skylarkbend.usage.UsageSubject;
import org.skylarkbend.usage.UsageTokens;

/** Task that owns the connections to endpoints, the queued calls and the running calls. */
public final class ForwardTask extends VerticleBase {
    private static final long TICK_INTERVAL_MILLISECONDS = 50;
    private static final long MILLISECONDS_PER_DAY = 24L * 3600 * 1000;
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 4_096;

    /** Time for which an unused connection is kept unless the endpoint names another. */
    private static final long KEEP_ALIVE_MILLISECONDS = 60_000;

    private final RouterSettings mSettings;
    private final Mailbox<ForwardMessage> mMailbox;
    private final Consumer<ResponseMessage> mResponses;
    private final ByteBudget mResponseMemory;
    private final CallPlacement mPlacement;
    private final Consumer<WatchMessage> mWatch;
    private final CallLedger mLedger;
    private final CallLimits mLimits;
    private final Consumer<UsageLine> mUsage;
    private final ForwardMetrics mMetrics;
    private final Tracing mTracing;
    private final MillisecondClock mClock;
    private final Map<String, Call> mWaiting = new HashMap<>();
    private final Map<String, ForwardCall> mRunning = new LinkedHashMap<>();
    private final Map<ObjectName, AdmissionDecider> mQueues = new HashMap<>();
    private final CallOwner mOwner = new Owner();
    private ForwardResources mResources;
    private ServingView mView = ServingView.none();
    private GrantsUsedUp mGrants = new GrantsUsedUp(0, List.of());
    private long mLimitTimerId;
    private RetryBudget mBudget = RetryBudget.full();

    /** Creates a task that sends responses to the given consumer. */
    public ForwardTask(
            RouterSettings settings,
            Mailbox<ForwardMessage> mailbox,
            Consumer<ResponseMessage> responses,
            ByteBudget responseMemory,
            Consumer<WatchMessage> watch,
            PlacementDecider placement,
            Consumer<LedgerMessage> ledger,
            Consumer<UsageLine> usageLines,
            Consumer<LimitMessage> limitOwner,
            ForwardMetrics metrics,
            Tracing tracing,
            MillisecondClock clock) {
        mSettings = settings;
        mMailbox = mailbox;
        mResponses = responses;
        mResponseMemory = responseMemory;
        mWatch = watch;
        mPlacement = new CallPlacement(placement);
        mLedger = new CallLedger(ledger);
        mUsage = usageLines;
        metrics.registerKnownBlocksGauge(placement::knownBlocks);
        mMetrics = metrics;
        mTracing = tracing;
        mClock = clock;
        mLimits =
                new CallLimits(
                        new LimitShareDecider(LimitPolicy.standard(), clock.nowMilliseconds()),
                        limitOwner,
                        this::enqueue,
                        this::refuse,
                        this::scheduleLimitWake);
    }

    @Override
    public Future<?> start() {
        mResources =
                new ForwardResources(
                        client(KEEP_ALIVE_MILLISECONDS),
                        client(0),
                        mSettings.endpointCredential(),
                        mSettings.bounds(),
                        mClock,
                        mResponseMemory,
                        mResponses,
                        mTracing.tracer(),
                        mTracing.propagator(),
                        mMetrics);
        mMailbox.bind(context, this::handle);
        vertx.setPeriodic(TICK_INTERVAL_MILLISECONDS, id -> tick());
        return Future.succeededFuture();
    }

    private EndpointClient client(long keepAliveMilliseconds) {
        RouterBounds bounds = mSettings.bounds();
        return new EndpointClient(
                vertx,
                EndpointDialer.direct(vertx, bounds.connectTimeoutMilliseconds()),
                new ExchangeOptions(
                        MAX_CONNECTIONS_PER_ENDPOINT,
                        bounds.connectTimeoutMilliseconds(),
                        keepAliveMilliseconds,
                        bounds.callers().maxHeaderBytes()),
                mClock,
                mMetrics.strayReceptions());
    }

    private void handle(ForwardMessage message) {
        if (message instanceof ForwardMessage.Submit submit) {
            submit(submit.call());
        } else if (message instanceof ForwardMessage.CallerDisconnected disconnected) {
            callerDisconnected(disconnected.call());
        } else if (message instanceof ForwardMessage.PauseReading pause) {
            Optional.ofNullable(mRunning.get(pause.call())).ifPresent(ForwardCall::pause);
        } else if (message instanceof ForwardMessage.ResumeReading resumeReading) {
            Optional.ofNullable(mRunning.get(resumeReading.call()))
                    .ifPresent(ForwardCall::resumeReading);
        } else if (message instanceof ForwardMessage.ViewChanged changed) {
            applyView(changed.view());
        } else if (message instanceof ForwardMessage.EndpointsChanged changed) {
            mPlacement.applyEndpoints(changed.endpoints(), mClock.nowMilliseconds());
            updateSlots();
        } else if (message instanceof ForwardMessage.LedgerResponseReceived ledgerResponse) {
            mLedger.handle(ledgerResponse.response(), mClock.nowMilliseconds());
        } else if (message instanceof ForwardMessage.LimitOwnerMessageReceived ownerMessage) {
            mLimits.handleOwnerMessage(ownerMessage.message(), mClock.nowMilliseconds());
        } else if (message instanceof ForwardMessage.ShuttingDown) {
            mLimits.releaseUnused(mClock.nowMilliseconds());
        } else if (message instanceof ForwardMessage.GrantsChanged changed) {
            mGrants = changed.grants();
        } else if (message instanceof ForwardMessage.CacheChanged changed) {
            mPlacement.apply(changed.event(), mClock.nowMilliseconds());
        }
    }

    private void submit(Call call) {
        if (call.chat().isPresent()
                && call.customerName().filter(this::isGrantUsedUp).isPresent()) {
            String detail = "the customer's monthly token grant is exhausted";
            refuse(call, new SkylarkError(ErrorKind.GRANT_EXCEEDED, detail), 0);
            return;
        }
        if (mLimits.limits(call)) {
            mLimits.reserve(call, mClock.nowMilliseconds());
        } else {
            enqueue(call);
        }
    }

    private void enqueue(Call call) {
        mWaiting.put(call.id(), call);
        Route route = call.grant().route();
        AdmissionMessage arrived =
                new AdmissionMessage.CallArrived(
                        call.id(),
                        call.customerName(),
                        call.weight(),
                        route.priority(),
                        route.deadlineMilliseconds());
        updateQueue(route.pool(), arrived);
    }

    private boolean isGrantUsedUp(ObjectName customer) {
        return mGrants.customers().contains(customer)
                && mGrants.month() == MonthNumbers.ofEpochDay(todayEpochDay());
    }

    private static long todayEpochDay() {
        return MillisecondClock.wall().nowMilliseconds() / MILLISECONDS_PER_DAY;
    }

    private void reportUsage(ForwardCall running) {
        Call call = running.call();
        Optional<ObjectName> customer = call.customerName();
        if (customer.isEmpty() || call.grant().key().isEmpty() || running.usage().isEmpty()) {
            return;
        }
        TokenUsage usage = running.usage().get();
        UsageTokens tokens =
                new UsageTokens(usage.promptTokens(), usage.cachedTokens(), usage.responseTokens());
        UsageSubject subject =
                new UsageSubject(
                        customer.get(),
                        call.grant().key().get().name(),
                        call.grant().route().name());
        mUsage.accept(new UsageLine(subject, todayEpochDay(), tokens));
    }

    private void scheduleLimitWake(long atMilliseconds) {
        vertx.cancelTimer(mLimitTimerId);
        long delayMilliseconds = Math.max(1, atMilliseconds - mClock.nowMilliseconds());
        mLimitTimerId =
                vertx.setTimer(delayMilliseconds, id -> mLimits.wake(mClock.nowMilliseconds()));
    }

    private void callerDisconnected(String id) {
        Call waiting = mWaiting.remove(id);
        if (waiting != null) {
            updateQueue(waiting.grant().route().pool(), new AdmissionMessage.Cancelled(id));
        }
        if (!mRunning.containsKey(id)) {
            mLimits.release(id, mClock.nowMilliseconds());
        }
        Optional.ofNullable(mRunning.get(id))
                .filter(running -> !mustFinish(running))
                .ifPresent(ForwardCall::abort);
    }

    /** Returns true if the ledger needs the outcome of the call, although its caller has left. */
    private static boolean mustFinish(ForwardCall running) {
        return running.isSent() && CallLedger.requiresReservation(running.call());
    }

    private void applyView(ServingView view) {
        boolean sameSet = view.published().revision() == mView.published().revision();
        mView = view;
        if (!sameSet) {
            mLimits.applyLimits(view.published().set(), mClock.nowMilliseconds());
            mPlacement.applySet(view.published().set(), mClock.nowMilliseconds());
            updateSlots();
            List.copyOf(mRunning.values()).forEach(this::recheckAccess);
        }
    }

    private void recheckAccess(ForwardCall running) {
        Call call = running.call();
        if (mView.access().isStillValid(call.grant())) {
            return;
        }
        WithdrawalPolicy policy = WithdrawalPolicy.of(call.traits().kind(), running.isSent());
        if (policy == WithdrawalPolicy.REFUSE_WAITING) {
            running.abort(keyRefused());
        } else if (policy == WithdrawalPolicy.END_RESPONSE) {
            running.abort(
                    new SkylarkError(
                            ErrorKind.KEY_WITHDRAWN, "the API key was withdrawn during the call"));
        }
    }

    private void updateSlots() {
        for (Route route : mView.published().set().routes().values()) {
            int slots = mPlacement.liveEndpoints(route) * mSettings.bounds().slotsPerEndpoint();
            updateQueue(route.pool(), new AdmissionMessage.SlotsChanged(Math.max(1, slots)));
        }
    }

    private void updateQueue(ObjectName pool, AdmissionMessage message) {
        RouterBounds bounds = mSettings.bounds();
        AdmissionLimits limits =
                new AdmissionLimits(bounds.maxWaitingPerPriority(), bounds.maxWaitingPerCustomer());
        AdmissionDecider queue =
                mQueues.computeIfAbsent(pool, name -> new AdmissionDecider(limits));
        Effects.executeEach(queue.decide(message, mClock.nowMilliseconds()), this::execute);
    }

    private void execute(AdmissionEffect effect) {
        if (effect instanceof AdmissionEffect.Start start) {
            start(start.call());
        } else if (effect instanceof AdmissionEffect.Refuse refuse) {
            Call call = mWaiting.remove(refuse.call());
            mLimits.release(call.id(), mClock.nowMilliseconds());
            SkylarkError error = new SkylarkError(ErrorKind.OVERLOADED, refuse.detail());
            refuse(call, error, refuse.retryAfterMilliseconds());
        }
    }

    private void start(String id) {
        Call call = mWaiting.remove(id);
        ForwardCall running = new ForwardCall(call, mResources, mOwner);
        mRunning.put(id, running);
        long nowMilliseconds = mClock.nowMilliseconds();
        mMetrics.recordQueueWait(nowMilliseconds - call.arrivedMilliseconds());
        if (!mView.access().isStillValid(call.grant())) {
            running.abort(keyRefused());
        } else if (!call.grant().route().keyless() && !mView.mayServeKeyedAt(nowMilliseconds)) {
            running.abort(
                    new SkylarkError(ErrorKind.ROUTER_STALE, "the serving lease has expired"));
        } else if (CallLedger.requiresReservation(call)) {
            mLedger.reserve(call, nowMilliseconds, error -> handleReservation(running, error));
        } else {
            running.begin();
        }
    }

    private void handleReservation(ForwardCall running, Optional<SkylarkError> error) {
        if (mRunning.containsKey(running.call().id())) {
            error.ifPresentOrElse(running::abort, running::begin);
        }
    }

    private void refuse(Call call, SkylarkError error, long retryAfterMilliseconds) {
        mMetrics.countFailure(error.kind());
        mResponses.accept(new ResponseMessage.Failed(call.id(), error, retryAfterMilliseconds));
    }

    private void tick() {
        long nowMilliseconds = mClock.nowMilliseconds();
        List.copyOf(mRunning.values()).forEach(call -> call.checkTimeouts(nowMilliseconds));
        mLedger.checkTimeouts(nowMilliseconds);
        for (ObjectName pool : List.copyOf(mQueues.keySet())) {
            updateQueue(pool, new AdmissionMessage.TimePassed());
        }
    }

    private static SkylarkError keyRefused() {
        return new SkylarkError(ErrorKind.KEY_REFUSED, "the API key was withdrawn");
    }

    /** Implementation of the services for running calls. */
    private final class Owner implements CallOwner {
        @Override
        public Optional<Endpoint> choose(Call call, Set<ObjectName> tried) {
            return mPlacement.choose(call, tried, mClock.nowMilliseconds());
        }

        @Override
        public String cacheScope(Call call) {
            return mPlacement.cacheScopeOf(call).text();
        }

        @Override
        public void sent(Call call, String attempt, ObjectName endpoint) {
            mPlacement.sent(call, attempt, endpoint, mClock.nowMilliseconds());
        }

        @Override
        public void firstTokenReceived(Call call, String attempt) {
            long promptTokens = call.chat().orElseThrow().promptTokens();
            mLimits.recordUsage(call.id(), promptTokens, mClock.nowMilliseconds());
            mPlacement.firstTokenReceived(attempt, mClock.nowMilliseconds());
        }

        @Override
        public void attemptSucceeded(String attempt, ObjectName endpoint, long cachedTokens) {
            mPlacement.ended(
                    attempt, endpoint, Optional.of(cachedTokens), mClock.nowMilliseconds());
            mWatch.accept(new WatchMessage.AttemptEnded(endpoint, true));
        }

        @Override
        public void attemptEnded(String attempt, ObjectName endpoint, boolean endpointFailed) {
            mPlacement.ended(attempt, endpoint, Optional.empty(), mClock.nowMilliseconds());
            if (endpointFailed) {
                mWatch.accept(new WatchMessage.AttemptEnded(endpoint, false));
            }
        }

        @Override
        public RetryBudget budget() {
            return mBudget;
        }

        @Override
        public void replaceBudget(RetryBudget budget) {
            mBudget = budget;
        }

        @Override
        public void callEnded(ForwardCall running, CallOutcome outcome, int httpStatus) {
            Call call = running.call();
            if (mRunning.remove(call.id()) == null) {
                return;
            }
            long nowMilliseconds = mClock.nowMilliseconds();
            reportUsage(running);
            running.usage()
                    .ifPresent(
                            u ->
                                    mLimits.recordUsage(
                                            call.id(),
                                            u.promptTokens() + u.responseTokens(),
                                            nowMilliseconds));
            mLimits.release(call.id(), nowMilliseconds);
            mLedger.settle(call, outcome, httpStatus, nowMilliseconds);
            mMetrics.recordCallDuration(nowMilliseconds - call.arrivedMilliseconds());
            long serviceMilliseconds = nowMilliseconds - running.startedMilliseconds();
            updateQueue(
                    call.grant().route().pool(),
                    new AdmissionMessage.Finished(call.id(), serviceMilliseconds));
        }
    }
}
