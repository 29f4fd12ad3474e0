package org.skylarkbend.gateway.front;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.catalog.SiteMessage.ColdEndpoints;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.catalog.VersionSplit;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.DrainSchedule;
import org.skylarkbend.gateway.GatewaySettings;
import org.skylarkbend.gateway.call.CallRequest;
import org.skylarkbend.gateway.call.CallResources;
import org.skylarkbend.gateway.call.GuardedCall;
import org.skylarkbend.gateway.call.ResponseMemory;
import org.skylarkbend.gateway.call.RetryBudget;
import org.skylarkbend.gateway.crashes.CrashGuard;
import org.skylarkbend.gateway.endpoints.EndpointProbes;
import org.skylarkbend.gateway.endpoints.EndpointSelector;
import org.skylarkbend.gateway.limits.TokenGate;
import org.skylarkbend.gateway.link.SiteListener;
import org.skylarkbend.gateway.outcomes.OutcomeRecorder;
import org.skylarkbend.intake.BodyIntake;
import org.skylarkbend.intake.CallBoundary;
import org.skylarkbend.intake.CallerBudgets;
import org.skylarkbend.intake.CallerConnections;
import org.skylarkbend.intake.CallerMemory;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.limits.SuspensionDetector;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.wire.HeldBytes;
import org.skylarkbend.wire.RefusedBody;
import org.skylarkbend.wire.RequestDecoder;

/** Owns the connections to callers and endpoints, and all calls in progress between them. */
public final class GatewayTask extends VerticleBase implements SiteListener {
    private static final StructuredLog LOG = StructuredLog.of(GatewayTask.class);

    private static final long CHECK_INTERVAL_MILLISECONDS = 250;

    private final GatewaySettings mSettings;
    private final MetricRegistry mMetrics;
    private final MillisecondClock mClock;
    private final EndpointDialer mDialer;
    private final Consumer<LimitMessage> mLimitOwner;
    private final GatewayReports mReports;
    private final Consumer<Boolean> mOnReadyChange;
    private final CallHeadReader mHeadReader;
    private final Admissions mAdmissions;
    private final Set<GuardedCall> mCalls = new HashSet<>();
    private final CallerMemory mCallerMemory;
    private final CallerConnections mConnections;
    private final EndpointSelector mSelector;
    private final WorkReport mWorkReport;
    private final OutcomeRecorder mOutcomes;
    private final CrashGuard mCrashes;
    private Context mContext;
    private CallResources mResources;
    private TokenGate mGate;
    private BodyIntake mIntake;
    private EndpointAccess mEndpoints;
    private HttpServer mServer;
    private long mGateTimer = -1;
    private StartupQueue mStartupQueue;
    private boolean mLimitOwnerKnown;
    private boolean mReady;
    private Optional<Drain> mDrain = Optional.empty();

    /**
     * Creates a task that listens once it is deployed.
     *
     * @param settings addresses, header names and budgets
     * @param budgets memory for what callers send; responses count as bodies
     * @param metrics registry of the call metrics
     * @param clock monotonic clock
     * @param dialer opens connections of this VM to endpoints
     * @param limitOwner sends a message to the limit owner
     * @param reports receives the periodic reports, on the context of the task
     * @param onReady receives changes of readiness, on the context of the task
     */
    public GatewayTask(
            GatewaySettings settings,
            CallerBudgets budgets,
            MetricRegistry metrics,
            MillisecondClock clock,
            EndpointDialer dialer,
            Consumer<LimitMessage> limitOwner,
            GatewayReports reports,
            Consumer<Boolean> onReady) {
        mSettings = settings;
        mMetrics = metrics;
        mClock = clock;
        mDialer = dialer;
        mReports = reports;
        mLimitOwner = limitOwner;
        mOnReadyChange = onReady;
        mCallerMemory = new CallerMemory(budgets, clock);
        mConnections =
                new CallerConnections(
                        "caller",
                        mCallerMemory,
                        settings.budgets().callerConnections(),
                        connection -> {},
                        metrics);
        mHeadReader = new CallHeadReader(settings.headers());
        mAdmissions =
                new Admissions(mHeadReader, () -> mDrain.filter(Drain::isRefusing).isPresent());
        mSelector =
                new EndpointSelector(
                        () -> ThreadLocalRandom.current().nextDouble(),
                        settings.budgets().oldWeightsGraceMilliseconds(),
                        settings.dataCentre().value());
        mWorkReport = new WorkReport(mSelector, reports.onWork());
        mOutcomes = new OutcomeRecorder(reports.onOutcomes());
        mCrashes = new CrashGuard(reports.onCrashes(), metrics);
    }

    @Override
    public Future<?> start() {
        mContext = context;
        mStartupQueue = new StartupQueue(vertx);
        mGate =
                new TokenGate(
                        new LimitShareDecider(LimitPolicy.forGateways(), now()),
                        mLimitOwner,
                        this::wakeGateAt,
                        new SuspensionDetector(MillisecondClock.wall(), now())
                                ::suspendedMilliseconds);
        mIntake = new BodyIntake(vertx, mCallerMemory, mClock);
        mEndpoints = endpointAccess();
        mResources =
                new CallResources(
                        vertx,
                        mEndpoints.client(),
                        mSettings.headers(),
                        mSelector,
                        mGate,
                        new RetryBudget(
                                mSettings.budgets().retriesPerCall(),
                                mSettings.budgets().retryBudgetCapacity()),
                        mOutcomes,
                        mCrashes,
                        mEndpoints.probes(),
                        new ResponseMemory(mCallerMemory.bodies()),
                        mAdmissions::cacheScopes,
                        mMetrics,
                        mClock);
        vertx.setPeriodic(CHECK_INTERVAL_MILLISECONDS, id -> check());
        scheduleWorkReport();
        mServer =
                RequestDecoder.createServer(
                        vertx, CallerServer.options(), this::connected, this::receive);
        return mEndpoints
                .listen()
                .compose(
                        ignored ->
                                mServer.listen(
                                        mSettings.callers().port(), mSettings.callers().host()));
    }

    private EndpointAccess endpointAccess() {
        return new EndpointAccess(
                vertx,
                mSettings,
                mDialer,
                mSelector,
                mClock,
                mMetrics,
                mReports.onRelayOffer(),
                endpointListener());
    }

    private void check() {
        mEndpoints.check();
        mIntake.endLate();
        updateReadiness();
    }

    private void scheduleWorkReport() {
        vertx.setTimer(
                mWorkReport.intervalMilliseconds(),
                id -> {
                    scheduleWorkReport();
                    mWorkReport.sendIfDue(now());
                    mOutcomes.report();
                    mCrashes.reportIfDue(now());
                });
    }

    @Override
    public Future<?> stop() {
        return mServer.close();
    }

    @Override
    public void catalogChanged(Catalog catalog) {
        mContext.runOnContext(
                ignored -> {
                    mAdmissions.catalogChanged(catalog);
                    mEndpoints.storeChanged(catalog.store());
                    mSelector.servicesChanged(catalog.services());
                    mGate.updateLimits(
                            SiteLimits.of(catalog, mSettings.budgets().limitSlack()), now());
                    updateReadiness();
                });
    }

    @Override
    public void endpointsChanged(Endpoints endpoints) {
        mContext.runOnContext(
                ignored -> {
                    mSelector.replace(endpoints, now());
                    mEndpoints.endpointsChanged(endpoints);
                    updateReadiness();
                });
    }

    @Override
    public void coldEndpointsChanged(ColdEndpoints cold) {
        mContext.runOnContext(
                ignored -> mSelector.coldEndpoints().reported(cold.milliseconds(), now()));
    }

    @Override
    public void evacuationsChanged(Set<String> dataCentres) {
        mContext.runOnContext(ignored -> mSelector.evacuated(dataCentres, now()));
    }

    @Override
    public void splitsChanged(List<VersionSplit> splits) {
        mContext.runOnContext(
                ignored -> {
                    mSelector.splitsChanged(splits);
                    mOutcomes.splitsChanged(splits);
                });
    }

    @Override
    public void weightsNamed(Map<String, Long> versions) {
        mContext.runOnContext(ignored -> mSelector.weightsAnnounced(versions, now()));
    }

    @Override
    public void otherWorkChanged(WorkUnderWay work) {
        mContext.runOnContext(
                ignored -> {
                    mWorkReport.sumReceived(work.nextInMilliseconds());
                    mSelector.otherWorkChanged(work.byIncarnation(), now());
                });
    }

    @Override
    public void quarantineChanged(QuarantineNotice notice) {
        mContext.runOnContext(
                ignored -> {
                    mCrashes.noticeReceived(notice, now());
                    List.copyOf(mCalls).forEach(GuardedCall::quarantineChanged);
                });
    }

    @Override
    public void relaysListed(RelaysListed listed) {
        mContext.runOnContext(
                ignored -> {
                    mEndpoints.relaysListed(listed.relays());
                    mSelector.gatewaysCounted(listed.gateways());
                });
    }

    @Override
    public void limitMessageReceived(LimitMessage message) {
        mContext.runOnContext(
                ignored -> {
                    mLimitOwnerKnown = true;
                    mGate.receiveFromOwner(message, now());
                    updateReadiness();
                });
    }

    /**
     * Drains the gateway: reports it as not ready and serves calls until the load balancer has
     * noticed, then closes idle connections, refuses new calls and ends when no call is in flight.
     * Calls that are left at the end get an error.
     */
    public Future<Void> drain(DrainSchedule schedule) {
        Promise<Void> drained = Promise.promise();
        mContext.runOnContext(
                ignored -> {
                    mGate.shutDown(now());
                    mEndpoints.leave();
                    mDrain =
                            Optional.of(
                                    new Drain(
                                            vertx,
                                            schedule,
                                            mCalls,
                                            this::isServingNobody,
                                            mConnections,
                                            drained));
                    updateReadiness();
                });
        return drained.future();
    }

    private boolean isServingNobody() {
        return mCalls.isEmpty() && mConnections.areIdle() && mEndpoints.servesNoGateway();
    }

    private EndpointProbes.Listener endpointListener() {
        return new EndpointProbes.Listener() {
            @Override
            public void reached(Endpoint endpoint) {
                mCrashes.connected(endpoint);
            }

            @Override
            public void lost(Endpoint endpoint) {
                mCrashes.refusedConnection(endpoint, now());
                connectionsHang(endpoint);
            }

            @Override
            public void connectionsHang(Endpoint endpoint) {
                List.copyOf(mCalls).forEach(call -> call.endpointLost(endpoint));
            }
        };
    }

    private boolean isFullyInitialized() {
        return mAdmissions.hasCatalog() && mSelector.isInitialized() && mLimitOwnerKnown;
    }

    private void updateReadiness() {
        if (isFullyInitialized()) {
            mStartupQueue.releaseAll();
        }
        boolean ready = isFullyInitialized() && !mDrain.isPresent() && !mEndpoints.areAllLost();
        if (ready != mReady) {
            mReady = ready;
            LOG.info("gateway.ready", "ready", ready);
            mOnReadyChange.accept(ready);
        }
    }

    private void wakeGateAt(long atMilliseconds) {
        vertx.cancelTimer(mGateTimer);
        mGateTimer = vertx.setTimer(Math.max(1, atMilliseconds - now()), id -> mGate.wake(now()));
    }

    /** Returns the limits on a connection that a caller has opened. */
    private RequestDecoder.Limits connected(HttpConnection connection) {
        return mConnections.opened(
                connection,
                () -> mAdmissions.callerLimits().headerMilliseconds(),
                () -> CallerServer.IDLE_TIMEOUT_MILLISECONDS);
    }

    private void receive(HttpServerRequest request) {
        new CallBoundary(
                        mHeadReader.id(request), () -> refuseBody(request, BodyIntake.stepFailed()))
                .run(() -> readBody(request));
    }

    private void readBody(HttpServerRequest request) {
        long arrivedMilliseconds = now();
        mConnections.begun(request);
        Admissions.Decision decision = mAdmissions.decide(request);
        mIntake.read(
                mHeadReader.id(request),
                request,
                mAdmissions.bodyLimits(request, decision, arrivedMilliseconds),
                new BodyIntake.Listener() {
                    @Override
                    public void complete(HeldBytes body) {
                        beginOrQueue(new Arrival(request, body, arrivedMilliseconds, decision));
                    }

                    @Override
                    public void refused(SkylarkError error) {
                        refuseBody(request, error);
                    }
                });
    }

    private void beginOrQueue(Arrival arrival) {
        CallBoundary boundary =
                new CallBoundary(mHeadReader.id(arrival.request()), () -> failed(arrival));
        Runnable begin = boundary.around(() -> begin(arrival));
        if (isFullyInitialized() || mDrain.isPresent() || !mStartupQueue.offer(begin)) {
            begin.run();
        }
    }

    /** Ends a request that has become no call because a step of it failed. */
    private void failed(Arrival arrival) {
        arrival.body().release();
        refuse(arrival.request(), BodyIntake.stepFailed());
    }

    /** Refuses a request whose body has not arrived completely. */
    private void refuseBody(HttpServerRequest request, SkylarkError error) {
        RefusedBody.closeConnection(vertx, request);
        refuse(request, error);
    }

    private void begin(Arrival arrival) {
        HttpServerRequest request = arrival.request();
        if (request.response().ended() || request.response().closed()) {
            LOG.info("caller.gone", "id", mHeadReader.id(request));
            arrival.body().release();
            return;
        }
        mAdmissions
                .confirm(request, arrival.decision())
                .match(
                        admission -> serve(arrival, admission),
                        error -> {
                            arrival.body().release();
                            refuse(request, error);
                        });
    }

    private void serve(Arrival arrival, ServingState.Admission admission) {
        HttpServerRequest request = arrival.request();
        CallRequest call =
                new CallRequest(
                        mHeadReader.id(request),
                        request.method(),
                        request.uri(),
                        request.getHeader("Host"),
                        mHeadReader.forwardedHeaders(request.headers()),
                        admission.route(),
                        admission.route().serviceAt(ThreadLocalRandom.current().nextDouble()),
                        admission.customer(),
                        mHeadReader.prompt(request.headers()),
                        arrival.milliseconds(),
                        mHeadReader.timeoutMilliseconds(request.headers()),
                        mAdmissions.catalogNumber());
        GuardedCall started =
                new GuardedCall(
                        call, arrival.body(), mResources, responseTo(request), mCalls::remove);
        request.response().closeHandler(ignored -> started.callerDisconnected());
        request.response().exceptionHandler(e -> started.callerDisconnected());
        mCalls.add(started);
        started.start();
    }

    private HttpCallerResponse responseTo(HttpServerRequest request) {
        return new HttpCallerResponse(request, () -> mDrain.isPresent() || mEndpoints.areAllLost());
    }

    private void refuse(HttpServerRequest request, SkylarkError error) {
        responseTo(request)
                .failure(error.kind(), error.detail(), mSettings.staleRetryMilliseconds());
        mMetrics.counter("gateway_refused_" + error.kind().code()).inc();
        LOG.info(
                "call.refused",
                "id",
                mHeadReader.id(request),
                "kind",
                error.kind().code(),
                "catalog",
                mAdmissions.catalogNumber(),
                "detail",
                error.detail());
    }

    private long now() {
        return mClock.nowMilliseconds();
    }
}
