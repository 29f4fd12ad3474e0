package org.skylarkbend.gateway.front;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.catalog.SiteMessage.Endpoints;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.GatewaySettings;
import org.skylarkbend.gateway.call.CallRequest;
import org.skylarkbend.gateway.call.CallResources;
import org.skylarkbend.gateway.call.GatewayCall;
import org.skylarkbend.gateway.call.RetryAllowance;
import org.skylarkbend.gateway.endpoints.EndpointBoard;
import org.skylarkbend.gateway.endpoints.EndpointProbes;
import org.skylarkbend.gateway.endpoints.StoreProbe;
import org.skylarkbend.gateway.limits.TokenGate;
import org.skylarkbend.gateway.link.SiteListener;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitShareDecider;

/** Owns the connections to callers and endpoints, and all calls in progress between them. */
public final class GatewayTask extends VerticleBase implements SiteListener {
    private static final StructuredLog LOG = StructuredLog.of(GatewayTask.class);

    /**
     * Idle timeout of the server. Callers may keep connections open as long as the catalog allows,
     * so the server closes them late.
     */
    private static final int IDLE_SECONDS = 120;

    /** Maximum number of connections of a gateway to an endpoint. */
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 64;

    /** Endpoints that announce no keep-alive timeout close idle connections after some seconds. */
    private static final int KEEP_ALIVE_SECONDS = 4;

    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final long PROBE_MILLISECONDS = 250;

    private static final long DRAIN_CHECK_MILLISECONDS = 50;

    private final GatewaySettings mSettings;
    private final MetricRegistry mMetrics;
    private final MillisecondClock mClock;
    private final Consumer<LimitMessage> mLimitOwner;
    private final Consumer<Boolean> mOnReady;
    private final CallHeadReader mHeads;
    private final Set<GatewayCall> mCalls = new HashSet<>();
    private final CallerConnections mConnections = new CallerConnections();
    private final EndpointBoard mBoard;
    private final WorkReport mWork;
    private Context mContext;
    private Optional<ServingState> mState = Optional.empty();
    private CallResources mResources;
    private TokenGate mGate;
    private StoreProbe mStoreProbe;
    private HttpServer mServer;
    private long mGateTimer = -1;
    private EarlyCalls mEarly;
    private boolean mOwnerSpoke;
    private boolean mReady;
    private boolean mDraining;
    private boolean mRefusing;

    /**
     * Creates a task that listens once it is deployed.
     *
     * @param settings addresses, header names and budgets
     * @param metrics registry of the call metrics
     * @param clock monotonic clock
     * @param limitOwner sends a message to the limit owner
     * @param onWork receives the work in flight at endpoints, on the context of the task
     * @param onReady receives changes of readiness, on the context of the task
     */
    public GatewayTask(
            GatewaySettings settings,
            MetricRegistry metrics,
            MillisecondClock clock,
            Consumer<LimitMessage> limitOwner,
            Consumer<WorkUnderWay> onWork,
            Consumer<Boolean> onReady) {
        mSettings = settings;
        mMetrics = metrics;
        mClock = clock;
        mLimitOwner = limitOwner;
        mOnReady = onReady;
        mHeads = new CallHeadReader(settings.headers());
        mBoard =
                new EndpointBoard(
                        () -> ThreadLocalRandom.current().nextDouble(),
                        settings.budgets().weightsLifeMilliseconds());
        mWork = new WorkReport(mBoard, onWork);
    }

    @Override
    public Future<?> start() {
        mContext = context;
        mEarly = new EarlyCalls(vertx);
        mGate =
                new TokenGate(
                        new LimitShareDecider(LimitPolicy.countedWhenSent(), now()),
                        mLimitOwner,
                        this::wakeGateAt);
        mResources =
                new CallResources(
                        vertx,
                        vertx.createHttpClient(
                                new HttpClientOptions()
                                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                                        .setTcpNoDelay(true),
                                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT)),
                        mSettings.headers(),
                        mBoard,
                        mGate,
                        new RetryAllowance(
                                mSettings.budgets().retriesPerCall(),
                                mSettings.budgets().mostSavedRetries()),
                        mMetrics,
                        mClock);
        EndpointProbes probes = new EndpointProbes(vertx, mBoard, mClock, this::endpointLost);
        mStoreProbe = new StoreProbe(vertx, mBoard);
        vertx.setPeriodic(
                PROBE_MILLISECONDS,
                id -> {
                    probes.probe();
                    mStoreProbe.connect();
                });
        vertx.setPeriodic(WorkReport.PERIOD_MILLISECONDS, id -> mWork.tell(now()));
        mServer = vertx.createHttpServer(serverOptions());
        mServer.connectionHandler(mConnections::opened);
        mServer.requestHandler(this::take);
        return mServer.listen(mSettings.callers().port(), mSettings.callers().host());
    }

    private static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setTcpNoDelay(true)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(CallerLimits.defaults().headerBytes())
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setIdleTimeout(IDLE_SECONDS)
                .setIdleTimeoutUnit(TimeUnit.SECONDS);
    }

    @Override
    public Future<?> stop() {
        return mServer.close();
    }

    @Override
    public void catalogChanged(Catalog catalog) {
        mContext.runOnContext(
                nothing -> {
                    mState = Optional.of(ServingState.of(catalog));
                    mStoreProbe.follow(catalog.store());
                    mGate.publish(SiteLimits.of(catalog, mSettings.budgets().limitSlack()), now());
                    LOG.info(
                            "catalog.in_force",
                            "number",
                            catalog.number(),
                            "routes",
                            catalog.routes().size(),
                            "customers",
                            catalog.customers().size());
                    tellReady();
                });
    }

    @Override
    public void endpointsChanged(Endpoints endpoints) {
        mContext.runOnContext(
                nothing -> {
                    mBoard.replace(endpoints, now());
                    tellReady();
                });
    }

    @Override
    public void weightsNamed(Map<String, Long> versions) {
        mContext.runOnContext(nothing -> mBoard.name(versions, now()));
    }

    @Override
    public void othersHave(Map<String, EndpointWork> work) {
        mContext.runOnContext(nothing -> mBoard.othersHave(work, now()));
    }

    @Override
    public void limitOwnerSaid(LimitMessage message) {
        mContext.runOnContext(
                nothing -> {
                    mOwnerSpoke = true;
                    mGate.ownerSaid(message, now());
                    tellReady();
                });
    }

    /**
     * Drains the gateway: reports it as not ready and serves calls until the load balancer has
     * noticed, then closes idle connections, refuses new calls and ends when no call is in flight.
     *
     * @param minMilliseconds time that the load balancer needs
     * @param maxMilliseconds time after which the remaining calls are abandoned
     */
    public Future<Void> drain(long leastMilliseconds, long mostMilliseconds) {
        Promise<Void> drained = Promise.promise();
        mContext.runOnContext(
                nothing -> {
                    mDraining = true;
                    mGate.shutDown(now());
                    LOG.info("gateway.draining", "calls", mCalls.size());
                    tellReady();
                    vertx.setTimer(leastMilliseconds, id -> refuseFromNowOn());
                    waitForCalls(now(), leastMilliseconds, mostMilliseconds, drained);
                });
        return drained.future();
    }

    private void endpointLost(Endpoint endpoint) {
        List.copyOf(mCalls).forEach(call -> call.endpointLost(endpoint));
    }

    private void refuseFromNowOn() {
        mRefusing = true;
        mConnections.closeIdle();
    }

    private void waitForCalls(
            long sinceMilliseconds,
            long leastMilliseconds,
            long mostMilliseconds,
            Promise<Void> drained) {
        long waitedMilliseconds = now() - sinceMilliseconds;
        boolean isIdle = mCalls.isEmpty() && waitedMilliseconds >= leastMilliseconds;
        if (isIdle || waitedMilliseconds >= mostMilliseconds) {
            LOG.info("gateway.drained", "calls_left", mCalls.size());
            drained.complete();
        } else {
            vertx.setTimer(
                    DRAIN_CHECK_MILLISECONDS,
                    id ->
                            waitForCalls(
                                    sinceMilliseconds,
                                    leastMilliseconds,
                                    mostMilliseconds,
                                    drained));
        }
    }

    private boolean knowsAll() {
        return mState.isPresent() && mBoard.isKnown() && mOwnerSpoke;
    }

    private void tellReady() {
        if (knowsAll()) {
            mEarly.releaseAll();
        }
        boolean ready = knowsAll() && !mDraining;
        if (ready != mReady) {
            mReady = ready;
            LOG.info("gateway.ready", "ready", ready);
            mOnReady.accept(ready);
        }
    }

    private void wakeGateAt(long atMilliseconds) {
        vertx.cancelTimer(mGateTimer);
        mGateTimer = vertx.setTimer(Math.max(1, atMilliseconds - now()), id -> mGate.wake(now()));
    }

    private void take(HttpServerRequest request) {
        long arrivedMilliseconds = now();
        mConnections.begun(request.connection());
        request.response().endHandler(nothing -> mConnections.ended(request.connection()));
        int mostBytes =
                mState.map(state -> state.catalog().callerLimits())
                        .orElse(CallerLimits.defaults())
                        .bodyBytes();
        Buffer body = Buffer.buffer();
        request.handler(
                chunk -> {
                    if (body.length() + chunk.length() <= mostBytes) {
                        body.appendBuffer(chunk);
                    } else if (!request.response().ended()) {
                        request.response().putHeader("Connection", "close");
                        answer(request).failure(ErrorKind.BODY_TOO_LARGE, "too large", 0);
                        request.connection().close();
                    }
                });
        request.exceptionHandler(e -> LOG.debug("caller.broke", "cause", e.getMessage()));
        request.endHandler(
                nothing -> {
                    Runnable begin = () -> begin(request, body, arrivedMilliseconds);
                    if (knowsAll() || mDraining || !mEarly.keep(begin)) {
                        begin.run();
                    }
                });
    }

    private void begin(HttpServerRequest request, Buffer body, long arrivedMilliseconds) {
        String host = request.getHeader("Host");
        if (request.response().ended() || request.response().closed()) {
            LOG.info("caller.gone", "id", request.getHeader(mSettings.headers().requestId()));
        } else if (mRefusing) {
            refuse(request, new SkylarkError(ErrorKind.ROUTER_DRAINING, "this VM is leaving"));
        } else if (mState.isEmpty()) {
            refuse(
                    request,
                    new SkylarkError(ErrorKind.ROUTER_STALE, "no catalog is known here yet"));
        } else if (host == null) {
            refuse(request, new SkylarkError(ErrorKind.BAD_REQUEST, "give a Host header"));
        } else {
            ServingState state = mState.get();
            state.admit(host, request.path(), mHeads.keyDigest(request.headers()))
                    .match(
                            admission -> serve(request, body, arrivedMilliseconds, admission),
                            error -> refuse(request, error));
        }
    }

    private void serve(
            HttpServerRequest request,
            Buffer body,
            long arrivedMilliseconds,
            ServingState.Admission admission) {
        String id = request.getHeader(mSettings.headers().requestId());
        CallRequest call =
                new CallRequest(
                        id == null ? "" : id,
                        request.method(),
                        request.uri(),
                        request.getHeader("Host"),
                        mHeads.passedOn(request.headers()),
                        body,
                        admission.route(),
                        admission.route().serviceAt(ThreadLocalRandom.current().nextDouble()),
                        admission.customer(),
                        mHeads.prompt(request.headers()),
                        arrivedMilliseconds,
                        mHeads.waitMilliseconds(request.headers()),
                        mState.map(state -> state.catalog().number()).orElse(0L));
        GatewayCall[] started = new GatewayCall[1];
        started[0] =
                new GatewayCall(call, mResources, answer(request), () -> mCalls.remove(started[0]));
        mCalls.add(started[0]);
        request.response().closeHandler(nothing -> started[0].callerLeft());
        request.response().exceptionHandler(e -> started[0].callerLeft());
        started[0].start();
    }

    private HttpCallerAnswer answer(HttpServerRequest request) {
        return new HttpCallerAnswer(request, () -> mDraining);
    }

    private void refuse(HttpServerRequest request, SkylarkError error) {
        mMetrics.counter("gateway_refused_" + error.kind().code()).inc();
        LOG.info(
                "call.refused",
                "id",
                request.getHeader(mSettings.headers().requestId()),
                "kind",
                error.kind().code(),
                "catalog",
                mState.map(state -> state.catalog().number()).orElse(0L),
                "detail",
                error.detail());
        answer(request).failure(error.kind(), error.detail(), mSettings.staleRetryMilliseconds());
    }

    private long now() {
        return mClock.nowMilliseconds();
    }
}
