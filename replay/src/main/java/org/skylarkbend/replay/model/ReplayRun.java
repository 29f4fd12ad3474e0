package org.skylarkbend.replay.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleConsumer;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.EngineIncarnation;
import org.skylarkbend.placement.PlacementDecider;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;
import org.skylarkbend.placement.PlacementMessage.EndpointRemoved;
import org.skylarkbend.placement.PlacementMessage.LoadReport;
import org.skylarkbend.placement.PlacementParameters;
import org.skylarkbend.placement.PlacementPolicy;
import org.skylarkbend.placement.PlacementRequest;
import org.skylarkbend.placement.PrefixChain;
import org.skylarkbend.replay.model.BlockCache.ScopedBlock;
import org.skylarkbend.replay.model.ReplayPolicy.Knowledge;
import org.skylarkbend.replay.report.PolicyResult;
import org.skylarkbend.replay.report.RunMeasures;
import org.skylarkbend.replay.trace.Trace;
import org.skylarkbend.replay.trace.TraceCustomer;
import org.skylarkbend.replay.trace.TraceFault;
import org.skylarkbend.replay.trace.TraceRequest;
import org.skylarkbend.replay.trace.TraceRoute;

/** Replays a trace with one policy on new engine and router models. */
public final class ReplayRun {
    /** Pool of all engines. */
    static final ObjectName POOL = ObjectName.of("engines");

    /** Version that all engines serve. */
    static final ObjectName VERSION = ObjectName.of("v1");

    private static final int PROGRESS_STEPS = 20;
    private static final long DRAIN_MILLISECONDS = 3_600_000;

    private final Trace mTrace;
    private final ReplayPolicy mPolicy;
    private final ModelParameters mModel;
    private final UniformRandomProvider mNetworkRandom;
    private final EventLoop mLoop = new EventLoop();
    private final RunMeasures mMeasures = new RunMeasures();
    private final Map<ObjectName, EngineModel> mEngines = new TreeMap<>();
    private final List<RouterModel> mRouters = new ArrayList<>();
    private final Map<ObjectName, TokenBucket> mBuckets;
    private final Map<ObjectName, TraceRoute> mRoutes;
    private final Set<ScopedBlock> mComputedBlocks = new HashSet<>();
    private final PlacementPolicy mOraclePolicy;
    private long mAttempts;

    /**
     * Creates a run. The seed determines load balancing, event loss and the times of load reports.
     */
    public ReplayRun(
            Trace trace,
            ReplayPolicy policy,
            PlacementParameters placement,
            ModelParameters model,
            long seed) {
        mTrace = trace;
        mPolicy = policy;
        mModel = model;
        mNetworkRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mOraclePolicy = policy.factory().apply(placement);
        mBuckets =
                trace.customers().stream()
                        .collect(Collectors.toMap(TraceCustomer::name, TokenBucket::new));
        mRoutes =
                trace.routes().stream().collect(Collectors.toMap(TraceRoute::name, route -> route));
        trace.endpoints()
                .forEach(
                        e ->
                                mEngines.put(
                                        e.name(),
                                        new EngineModel(
                                                e.name(),
                                                e.dataCentre(),
                                                model,
                                                mLoop,
                                                this::publish)));
        for (int i = 0; i < trace.routers(); i++) {
            RouterModel router =
                    new RouterModel(
                            () ->
                                    new PlacementDecider(
                                            placement, policy.factory().apply(placement)),
                            mLoop);
            router.restart(liveEndpoints());
            mRouters.add(router);
        }
    }

    /** Replays the whole trace and reports the completed fraction to {@code progress}. */
    public PolicyResult run(DoubleConsumer progress) {
        mTrace.requests()
                .forEach(request -> mLoop.scheduleAt(request.atMilliseconds(), arrival(request)));
        mTrace.faults()
                .forEach(fault -> mLoop.scheduleAt(fault.atMilliseconds(), () -> fault(fault)));
        scheduleLoadReports();
        long lengthMilliseconds = mTrace.lengthMilliseconds();
        for (int step = 1; step <= PROGRESS_STEPS; step++) {
            mLoop.runUntil(lengthMilliseconds * step / PROGRESS_STEPS);
            progress.accept((double) step / PROGRESS_STEPS);
        }
        mLoop.runUntil(lengthMilliseconds + DRAIN_MILLISECONDS);
        return mMeasures.result(mPolicy.name());
    }

    EventLoop loop() {
        return mLoop;
    }

    RunMeasures measures() {
        return mMeasures;
    }

    ModelParameters model() {
        return mModel;
    }

    /** Returns a new attempt ID. */
    String nextAttempt() {
        return "attempt-" + mAttempts++;
    }

    EngineModel engine(ObjectName name) {
        return mEngines.get(name);
    }

    /** Returns the engine that the policy chooses, or empty if none is available. */
    Optional<EngineIncarnation> choose(RouterModel router, PlacementRequest request, long rank) {
        if (mPolicy.knowledge() != Knowledge.EVERYTHING) {
            return router.choose(request);
        }
        List<EngineModel> live =
                mEngines.values().stream()
                        .filter(EngineModel::live)
                        .filter(e -> !request.excluded().contains(e.incarnation().endpoint()))
                        .toList();
        if (live.isEmpty()) {
            return Optional.empty();
        }
        OracleCandidates candidates = new OracleCandidates(live, request, rank);
        int chosen = mOraclePolicy.choose(request, candidates, mLoop.nowMilliseconds());
        return Optional.of(live.get(chosen).incarnation());
    }

    /** Records the computed blocks of a prompt and counts those that were computed before. */
    void recordComputed(PlacementRequest request, int cachedBlocks) {
        BlockHashes blocks = request.chain().blocks();
        for (int i = cachedBlocks; i < blocks.count(); i++) {
            if (!mComputedBlocks.add(new ScopedBlock(request.scope(), blocks.get(i)))) {
                mMeasures.recordWasted(PrefixChain.BLOCK_TOKENS);
            }
        }
    }

    private Runnable arrival(TraceRequest request) {
        RouterModel router = mRouters.get(mNetworkRandom.nextInt(mRouters.size()));
        TraceRoute route = mRoutes.get(request.route());
        TokenBucket bucket = mBuckets.get(request.customer());
        return () -> {
            long tokens = request.chain().promptTokens() + request.answerTokens();
            if (bucket.tryConsume(tokens, mLoop.nowMilliseconds())) {
                new RequestModel(this, router, route, request).place();
            } else {
                mMeasures.recordRefusedByRate(request);
            }
        };
    }

    private void scheduleLoadReports() {
        for (RouterModel router : mRouters) {
            for (EngineModel engine : mEngines.values()) {
                long phase = mNetworkRandom.nextInt((int) mModel.reportPeriodMilliseconds());
                mLoop.scheduleAt(phase, () -> report(router, engine));
            }
        }
    }

    private void report(RouterModel router, EngineModel engine) {
        if (engine.live()) {
            LoadReport report = engine.report(mLoop.nowMilliseconds());
            mLoop.scheduleAfter(1, () -> router.tell(report));
        }
        if (mLoop.nowMilliseconds() < mTrace.lengthMilliseconds()) {
            mLoop.scheduleAfter(mModel.reportPeriodMilliseconds(), () -> report(router, engine));
        }
    }

    private void publish(CacheEvent event) {
        if (mPolicy.knowledge() != Knowledge.EVENTS) {
            return;
        }
        for (RouterModel router : mRouters) {
            if (mNetworkRandom.nextDouble() >= mModel.eventLossShare()) {
                long delayMilliseconds = delayOf(event);
                mLoop.scheduleAfter(delayMilliseconds, () -> router.tell(event));
            }
        }
    }

    /**
     * Returns a delay that changes slower than time passes, so that an engine's events stay in
     * order.
     */
    private long delayOf(CacheEvent event) {
        long maxDelayMilliseconds = mModel.eventDelayMilliseconds();
        long phase = mLoop.nowMilliseconds() / 2 + event.engine().endpoint().hashCode() % 1_000;
        long position = Math.floorMod(phase, 2 * maxDelayMilliseconds);
        return position < maxDelayMilliseconds ? position : 2 * maxDelayMilliseconds - position;
    }

    private void fault(TraceFault fault) {
        switch (fault.kind()) {
            case CRASH -> crash(mEngines.get(fault.target()), fault.durationMilliseconds());
            case HERD_RESTART -> mRouters.forEach(router -> router.restart(liveEndpoints()));
            case DATA_CENTRE_LOSS ->
                    mEngines.values().stream()
                            .filter(engine -> engine.dataCentre().equals(fault.target()))
                            .forEach(engine -> crash(engine, fault.durationMilliseconds()));
            default -> throw new IllegalStateException("unknown fault " + fault.kind());
        }
    }

    private void crash(EngineModel engine, long durationMilliseconds) {
        if (!engine.live()) {
            return;
        }
        engine.crash();
        EndpointRemoved endpointRemoved = new EndpointRemoved(engine.incarnation().endpoint());
        long detection = mModel.detectionMilliseconds();
        mLoop.scheduleAfter(
                detection, () -> mRouters.forEach(router -> router.tell(endpointRemoved)));
        mLoop.scheduleAfter(durationMilliseconds, engine::start);
        mLoop.scheduleAfter(
                durationMilliseconds + detection,
                () -> mRouters.forEach(router -> router.tell(endpointUp(engine))));
    }

    private List<EndpointAdded> liveEndpoints() {
        return mEngines.values().stream()
                .filter(EngineModel::live)
                .map(ReplayRun::endpointUp)
                .toList();
    }

    private static EndpointAdded endpointUp(EngineModel engine) {
        return new EndpointAdded(engine.incarnation(), POOL, Set.of(VERSION));
    }
}
