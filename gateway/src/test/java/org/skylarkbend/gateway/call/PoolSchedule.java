package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.gateway.endpoints.EndpointSelector;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.endpoints.PriorAttempts;
import org.skylarkbend.gateway.endpoints.Prompt;
import org.skylarkbend.gateway.endpoints.ReportedLoad;

/**
 * Plays gateways that share a pool of engines and learn of each other's calls late, without
 * network. Each millisecond engines work, callers call or leave, and weights are loaded.
 */
final class PoolSchedule {
    private static final String SERVICE = "desk";
    private static final int ATTEMPTS = 3;
    private static final long LIST_INTERVAL_MILLISECONDS = 200;
    private static final long PATIENCE_MILLISECONDS = 15_000;
    private static final double[] SLOWNESS = {1, 1, 1.3};

    /**
     * A pool and its callers.
     *
     * @param gateways number of gateways
     * @param engines number of engines
     * @param spec speed and size of an engine
     * @param loadsAtOnce number of engines that load weights at a time
     * @param kinds kinds of calls
     */
    record Site(
            int gateways,
            int engines,
            BatchEngine.Spec spec,
            int loadsAtOnce,
            List<PoolCall.Kind> kinds) {}

    /** Time in which a kind of calls comes more often than usual, by a factor. */
    record Burst(String kind, double factor, long fromMilliseconds, long toMilliseconds) {}

    /**
     * What happens beside the usual calls.
     *
     * @param callsUntilMilliseconds time of the last call
     * @param bursts times with more calls
     * @param versionsAtMilliseconds times at which newer weights are announced
     */
    record Plan(
            long callsUntilMilliseconds, List<Burst> bursts, List<Long> versionsAtMilliseconds) {
        private double factor(PoolCall.Kind kind, long nowMilliseconds) {
            return bursts.stream()
                    .filter(burst -> burst.kind().equals(kind.name()))
                    .filter(burst -> burst.fromMilliseconds() <= nowMilliseconds)
                    .filter(burst -> nowMilliseconds < burst.toMilliseconds())
                    .mapToDouble(Burst::factor)
                    .findFirst()
                    .orElse(1);
        }

        private long version(long nowMilliseconds) {
            return 1 + versionsAtMilliseconds.stream().filter(at -> at <= nowMilliseconds).count();
        }
    }

    /** Worth that callers of a kind should have got, and worth that they got. */
    record Worth(double owed, double earned) {
        static Worth none() {
            return new Worth(0, 0);
        }

        Worth plus(Worth other) {
            return new Worth(owed + other.owed, earned + other.earned);
        }

        double share() {
            return earned / owed;
        }
    }

    private final Site mSite;
    private final Plan mPlan;
    private final Random mRandom;
    private final List<BatchEngine> mEngines;
    private final List<EndpointSelector> mGateways = new ArrayList<>();
    private final Set<PoolCall> mOpen = new LinkedHashSet<>();
    private final Map<String, Worth> mWorth = new HashMap<>();
    private Map<EndpointSelector, Map<String, EndpointWork>> mReports = Map.of();
    private Endpoints mListed;
    private long mNowMilliseconds;

    PoolSchedule(Site site, Plan plan, long seed) {
        mSite = site;
        mPlan = plan;
        mRandom = new Random(seed);
        mEngines =
                IntStream.range(0, site.engines())
                        .mapToObj(
                                i ->
                                        new BatchEngine(
                                                site.spec(),
                                                endpoint(i),
                                                SLOWNESS[i % SLOWNESS.length],
                                                this::eventMade))
                        .toList();
        mListed = listed();
        IntStream.range(0, site.gateways()).forEach(i -> mGateways.add(gateway()));
    }

    private Endpoint endpoint(int number) {
        String id = "e" + number + "-" + mRandom.nextInt(1_000);
        Map<String, Long> weights = Map.of(BatchEngine.MODEL, 1L);
        int slots = mSite.spec().slots();
        return new Endpoint(id, SERVICE, "h" + number, 1, "z", "v", slots, false, 1, weights);
    }

    private EndpointSelector gateway() {
        EndpointSelector gateway =
                new EndpointSelector(mRandom::nextDouble, PATIENCE_MILLISECONDS, "z");
        Service.Engine engine =
                new Service.Engine(mSite.spec().slots(), mSite.spec().memoryTokens());
        gateway.servicesChanged(
                Map.of(
                        SERVICE,
                        new Service(SERVICE, 1_000, Optional.of(engine), Optional.empty())));
        gateway.replace(mListed, 0);
        gateway.gatewaysCounted(mSite.gateways());
        return gateway;
    }

    private Endpoints listed() {
        return new Endpoints(
                mEngines.stream().map(BatchEngine::endpoint).toList(),
                mEngines.stream()
                        .filter(BatchEngine::isLoading)
                        .map(engine -> engine.endpoint().incarnation())
                        .collect(Collectors.toSet()));
    }

    /** Plays calls of all kinds until all have ended. */
    void run() {
        // The interval of control's sums, 100 ms and 4 ms for each gateway; see WorkTask.
        long sumMilliseconds = 100 + 4L * mSite.gateways();
        long reportMilliseconds = sumMilliseconds / 2;
        while (mNowMilliseconds < mPlan.callsUntilMilliseconds() || !mOpen.isEmpty()) {
            mNowMilliseconds++;
            mEngines.forEach(engine -> engine.advance(mNowMilliseconds));
            loadWeights();
            if (mNowMilliseconds % sumMilliseconds == 0) {
                sendSums();
            }
            if (mNowMilliseconds % reportMilliseconds == 0) {
                Map<EndpointSelector, Map<String, EndpointWork>> reports = new LinkedHashMap<>();
                mGateways.forEach(gateway -> reports.put(gateway, gateway.ownWork()));
                mReports = reports;
            }
            if (mNowMilliseconds <= mPlan.callsUntilMilliseconds()) {
                mSite.kinds().forEach(this::callByChance);
            }
            List.copyOf(mOpen).stream()
                    .filter(call -> call.isAbandoned(mNowMilliseconds))
                    .forEach(this::abandon);
        }
    }

    /** Returns the worth of the calls of a kind. */
    Worth worth(PoolCall.Kind kind) {
        return mWorth.getOrDefault(kind.name(), Worth.none());
    }

    /** Returns the worth of all calls. */
    Worth worth() {
        return mWorth.values().stream().reduce(Worth.none(), Worth::plus);
    }

    List<BatchEngine> engines() {
        return mEngines;
    }

    private void sendSums() {
        Map<String, EndpointWork> sum = new HashMap<>();
        mReports.values()
                .forEach(
                        work ->
                                work.forEach(
                                        (key, value) -> sum.merge(key, value, EndpointWork::plus)));
        mReports.forEach(
                (gateway, own) -> {
                    Map<String, EndpointWork> others = new HashMap<>(sum);
                    own.forEach(
                            (key, value) -> others.computeIfPresent(key, (k, v) -> v.minus(value)));
                    gateway.otherWorkChanged(others, mNowMilliseconds);
                });
    }

    private void loadWeights() {
        long newest = mPlan.version(mNowMilliseconds);
        if (newest > mPlan.version(mNowMilliseconds - 1)) {
            Map<String, Long> versions = Map.of(BatchEngine.MODEL, newest);
            mGateways.forEach(gateway -> gateway.weightsAnnounced(versions, mNowMilliseconds));
        }
        long loading = mEngines.stream().filter(BatchEngine::isLoading).count();
        mEngines.stream()
                .filter(engine -> !engine.isLoading() && engine.version() < newest)
                .sorted(Comparator.comparingLong(BatchEngine::version))
                .limit(Math.max(0, mSite.loadsAtOnce() - loading))
                .flatMap(engine -> engine.load(newest).stream())
                .forEach(this::sendElsewhere);
        if (mNowMilliseconds % LIST_INTERVAL_MILLISECONDS == 0) {
            mGateways.forEach(gateway -> gateway.replace(mListed, mNowMilliseconds));
            mListed = listed();
        }
    }

    private void callByChance(PoolCall.Kind kind) {
        double factor = mPlan.factor(kind, mNowMilliseconds);
        if (mRandom.nextDouble() >= kind.callsPerSecond() / 1_000 * factor) {
            return;
        }
        List<Prompt.Part> parts = new ArrayList<>();
        for (PoolCall.Part part : kind.parts()) {
            String id = kind.name() + parts.size() + "-" + mRandom.nextInt(part.variants());
            parts.add(new Prompt.Part(id, part.tokens()));
        }
        int events = Math.max(1, (int) Math.round(kind.events() * 2 * mRandom.nextDouble()));
        Prompt prompt =
                new Prompt(
                        BatchEngine.MODEL,
                        parts,
                        parts.stream().mapToLong(Prompt.Part::tokens).sum(),
                        (long) events * mSite.spec().eventTokens());
        EndpointSelector gateway = mGateways.get(mRandom.nextInt(mGateways.size()));
        mWorth.merge(kind.name(), new Worth(kind.worth(), 0), Worth::plus);
        send(new PoolCall(kind, request(kind, prompt), gateway, events));
    }

    private CallRequest request(PoolCall.Kind kind, Prompt prompt) {
        Route route =
                new Route(
                        kind.name(),
                        "a.example",
                        "/x/",
                        CallKind.STREAM,
                        PATIENCE_MILLISECONDS,
                        kind.targetMilliseconds(),
                        kind.priority(),
                        List.of(new Route.Target(SERVICE, 1)),
                        1,
                        true,
                        true,
                        false);
        return new CallRequest(
                "c",
                HttpMethod.POST,
                "/x/y",
                "a.example",
                MultiMap.caseInsensitiveMultiMap(),
                route,
                SERVICE,
                Optional.empty(),
                Optional.of(prompt),
                mNowMilliseconds,
                PATIENCE_MILLISECONDS,
                1);
    }

    /** Sends a call to up to three engines, until one accepts it. */
    private void send(PoolCall call) {
        Set<String> tried = new HashSet<>();
        boolean isSent = false;
        for (int i = 1; i <= ATTEMPTS && !isSent; i++) {
            Optional<EngineChoice> choice =
                    call.gateway()
                            .choose(
                                    SERVICE,
                                    call.prompt(),
                                    "shared",
                                    new PriorAttempts(tried, i == ATTEMPTS),
                                    mNowMilliseconds);
            choice.ifPresent(chosen -> tried.add(chosen.endpoint().incarnation()));
            isSent = choice.isPresent() && sendTo(call, choice.get());
        }
    }

    private boolean sendTo(PoolCall call, EngineChoice choice) {
        BatchEngine engine =
                mEngines.stream()
                        .filter(
                                candidate ->
                                        candidate.endpoint().id().equals(choice.endpoint().id()))
                        .findFirst()
                        .orElseThrow();
        if (!engine.accept(call, Urgency.of(call.request(), choice).level())) {
            report(call.gateway(), engine);
            call.gateway().refused(choice.endpoint(), mNowMilliseconds);
            return false;
        }
        call.gateway().sent(choice.endpoint(), choice.tokensToRead(), mNowMilliseconds);
        call.sent(new PoolCall.Sent(engine, choice, mNowMilliseconds));
        mOpen.add(call);
        return true;
    }

    private void report(EndpointSelector gateway, BatchEngine engine) {
        gateway.reported(
                engine.endpoint(),
                new ReportedLoad(engine.running(), engine.waiting(), OptionalInt.empty()),
                mNowMilliseconds);
    }

    private void eventMade(PoolCall call) {
        if (!call.hasEvents()) {
            report(call.gateway(), call.sent().engine());
            promptRead(call);
            call.gateway()
                    .sharedPools()
                    .firstEvent(
                            call.sent().choice(), mNowMilliseconds - call.sent().atMilliseconds());
        }
        call.eventReceived(mNowMilliseconds);
        if (call.isComplete()) {
            call.gateway().succeeded(call.sent().choice().endpoint());
            mWorth.merge(call.kind().name(), new Worth(0, call.earned()), Worth::plus);
            end(call);
        }
    }

    private void promptRead(PoolCall call) {
        EngineChoice choice = call.sent().choice();
        call.gateway().promptRead(choice.endpoint(), choice.tokensToRead());
    }

    private void abandon(PoolCall call) {
        call.sent().engine().drop(call);
        takeBack(call);
    }

    private void sendElsewhere(PoolCall call) {
        takeBack(call);
        send(call);
    }

    private void takeBack(PoolCall call) {
        if (!call.hasEvents()) {
            promptRead(call);
        }
        end(call);
    }

    private void end(PoolCall call) {
        call.gateway().ended(call.sent().choice().endpoint());
        mOpen.remove(call);
    }
}
