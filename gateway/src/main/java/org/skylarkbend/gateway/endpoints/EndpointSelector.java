package org.skylarkbend.gateway.endpoints;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.catalog.VersionSplit;
import org.skylarkbend.gateway.endpoints.PromptHomes.Homes;
import org.skylarkbend.placement.pool.SampledChoice;

/**
 * Tracks the endpoints of all services and selects one for each call.
 *
 * <p>A call without a prompt goes to the endpoint with the fewest calls per slot. A call with a
 * prompt goes to the engine with the lowest estimated cost. This is usually the home engine of its
 * shared parts, which all gateways determine alike by rendezvous hashing, unless the queue there
 * costs more than processing the shared parts on another engine. The state is confined to one task.
 */
public final class EndpointSelector {
    private static final StructuredLog LOG = StructuredLog.of(EndpointSelector.class);

    /**
     * Minimum number of shared tokens for a fetch from a cache. Fewer are processed as fast as they
     * are fetched.
     */
    private static final long MIN_SHARED_TOKENS = 1_000;

    /**
     * Time without data after which a busy endpoint is probed. A busy engine sends data every 50
     * ms, and processes the largest prompts within a second.
     */
    private static final long PROBE_AFTER_SILENCE_MILLISECONDS = 600;

    /**
     * Additional cost of an endpoint that failed recently, is unreachable or loads weights. It
     * ranks such an endpoint after all others.
     */
    static final double LAST_RESORT_COST = 1e9;

    private final DoubleSupplier mRandom;
    private final WeightsCost mWeightsCost;
    private final Map<String, EndpointLoad> mLoads = new HashMap<>();
    private final Map<String, List<EndpointLoad>> mByService = new HashMap<>();

    /**
     * The endpoints that have calls of this gateway or are unreachable. Periodic checks look at
     * these only, since a gateway of a large site uses few of the endpoints at a time.
     */
    private final Set<EndpointLoad> mActive = new LinkedHashSet<>();

    private final WeightsLoadOrders mWeightsLoadOrders;
    private final SharedPools mShared;
    private final PromptCost mPromptCost;
    private final SampledChoice mSampledChoice;
    private final BrittleServices mBrittle;
    private final ColdEndpoints mCold;
    private Set<String> mEvacuated = Set.of();
    private final VersionSplits mSplits = new VersionSplits();
    private final PromptHomes mHomes = new PromptHomes();
    private ReachedStore mStore = ReachedStore.none();
    private boolean mInitialized;
    private long mUpdatedMilliseconds;

    /**
     * Creates a selector without endpoints.
     *
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive), for ties
     * @param oldWeightsGraceMilliseconds time for which new calls may still use old weights after
     *     newer ones were announced
     * @param dataCentre data centre of the gateway
     */
    public EndpointSelector(
            DoubleSupplier random, long oldWeightsGraceMilliseconds, String dataCentre) {
        mRandom = random;
        mWeightsCost = new WeightsCost(oldWeightsGraceMilliseconds);
        mWeightsLoadOrders = new WeightsLoadOrders(mWeightsCost);
        mShared = new SharedPools(dataCentre, random);
        mPromptCost = new PromptCost(mWeightsCost, mShared);
        mSampledChoice = new SampledChoice(random);
        mBrittle = new BrittleServices(random);
        mCold = new ColdEndpoints(random);
    }

    /** Returns whether the list of endpoints was ever received. */
    public boolean isInitialized() {
        return mInitialized;
    }

    /** Returns the time since the list of endpoints was last received. */
    public long ageMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - mUpdatedMilliseconds;
    }

    /** Replaces the list of endpoints. The load of endpoints that remain listed is kept. */
    public void replace(Endpoints endpoints, long nowMilliseconds) {
        mInitialized = true;
        mUpdatedMilliseconds = nowMilliseconds;
        mHomes.loadingChanged(endpoints.loading());
        Map<String, EndpointLoad> present = new HashMap<>();
        mByService.clear();
        for (Endpoint endpoint : endpoints.endpoints()) {
            EndpointLoad load =
                    mLoads.getOrDefault(endpoint.incarnation(), new EndpointLoad(endpoint));
            load.update(endpoint);
            mCold.listed(endpoint, nowMilliseconds);
            present.put(endpoint.incarnation(), load);
            if (!endpoint.leaving()) {
                mByService.computeIfAbsent(endpoint.service(), name -> new ArrayList<>()).add(load);
            }
        }
        mLoads.clear();
        mLoads.putAll(present);
        mActive.retainAll(present.values());
        mCold.retainAll(present.keySet());
        mWeightsLoadOrders.clear();
    }

    /** Replaces the services whose calls are divided between versions. */
    public void splitsChanged(List<VersionSplit> splits) {
        mSplits.replace(splits);
    }

    /** Sets the store of cached prompt parts. */
    public void setStore(ReachedStore store) {
        mStore = store;
    }

    /** Records the newest announced version of the weights of each model. */
    public void weightsAnnounced(Map<String, Long> versions, long nowMilliseconds) {
        mWeightsCost.weightsAnnounced(versions, nowMilliseconds);
    }

    /**
     * Returns the work of this gateway in flight, by endpoint, without endpoints that have none.
     */
    public Map<String, EndpointWork> ownWork() {
        mActive.removeIf(EndpointLoad::isInactive);
        Map<String, EndpointWork> work = new HashMap<>();
        for (EndpointLoad load : mActive) {
            if (load.hasOwnWork()) {
                work.put(load.incarnation(), load.own());
            }
        }
        return work;
    }

    /** Records the work that all other gateways together have in flight, by endpoint. */
    public void otherWorkChanged(Map<String, EndpointWork> work, long nowMilliseconds) {
        mLoads.forEach(
                (incarnation, load) ->
                        load.otherWorkChanged(
                                work.getOrDefault(incarnation, EndpointWork.none()),
                                nowMilliseconds));
        mBrittle.sumReceived(mLoads, nowMilliseconds);
    }

    /** Selects an endpoint for a call without a prompt. */
    public Optional<EngineChoice> choose(
            String service, PriorAttempts priorAttempts, long nowMilliseconds) {
        return chosen(
                        service,
                        candidates(service, priorAttempts, nowMilliseconds),
                        priorAttempts,
                        load -> false,
                        load ->
                                (double) load.calls(nowMilliseconds)
                                                / Math.max(1, load.endpoint().slots())
                                        + lastResortCost(load, priorAttempts, nowMilliseconds))
                .map(load -> EngineChoice.plain(load.endpoint()));
    }

    /** Selects an engine for a call with a prompt. */
    public Optional<EngineChoice> choose(
            String service,
            Prompt prompt,
            String scope,
            PriorAttempts priorAttempts,
            long nowMilliseconds) {
        List<EndpointLoad> candidates = candidates(service, priorAttempts, nowMilliseconds);
        int homeCount =
                mShared.homeCount(service, prompt, scope, mByService.get(service), nowMilliseconds);
        Homes homes = mHomes.homesOf(candidates, prompt, scope, homeCount);
        Map<EndpointLoad, Integer> weightsLoadOrder =
                mWeightsLoadOrders.of(
                        service, mByService.getOrDefault(service, List.of()), prompt.model());
        ToDoubleFunction<EndpointLoad> cost =
                load ->
                        mPromptCost.of(
                                        load,
                                        prompt,
                                        homes.contains(load),
                                        weightsLoadOrder,
                                        nowMilliseconds)
                                + lastResortCost(load, priorAttempts, nowMilliseconds);
        return chosen(service, candidates, priorAttempts, homes::contains, cost)
                .map(load -> toChoice(load, candidates, prompt, homes, nowMilliseconds));
    }

    /**
     * Chooses the cheapest endpoint. If many gateways use the service, it is the cheapest one of
     * some drawn at random, so that gateways which know of each other's calls late do not all take
     * the same one.
     */
    private Optional<EndpointLoad> chosen(
            String service,
            List<EndpointLoad> candidates,
            PriorAttempts priorAttempts,
            Predicate<EndpointLoad> isHome,
            ToDoubleFunction<EndpointLoad> cost) {
        List<EndpointLoad> untried =
                candidates.stream()
                        .filter(load -> !priorAttempts.incarnations().contains(load.incarnation()))
                        .toList();
        return mShared.contains(service)
                ? mSampledChoice.of(untried, isHome, cost, PromptCost.FULL_COST)
                : cheapest(untried, cost);
    }

    /** Records that a call was sent to an endpoint, with the number of prompt tokens to process. */
    public void sent(Endpoint endpoint, long promptTokens, long nowMilliseconds) {
        loadOf(endpoint)
                .ifPresent(
                        load -> {
                            load.callStarted(promptTokens, nowMilliseconds);
                            mCold.sent(endpoint, nowMilliseconds);
                            mActive.add(load);
                        });
    }

    /** Records that an engine has processed the prompt of a call. */
    public void promptRead(Endpoint endpoint, long promptTokens) {
        loadOf(endpoint).ifPresent(load -> load.promptRead(promptTokens));
    }

    /** Records the end of a call at an endpoint, successful or not. */
    public void ended(Endpoint endpoint) {
        loadOf(endpoint).ifPresent(EndpointLoad::callEnded);
    }

    /** Records that an endpoint sent data or accepted a connection. */
    public void responded(Endpoint endpoint, long nowMilliseconds) {
        loadOf(endpoint)
                .ifPresent(
                        load -> {
                            if (load.isUnreachable()) {
                                mCold.mayBeCold(endpoint, nowMilliseconds);
                            }
                            load.responded(nowMilliseconds);
                        });
    }

    /**
     * Records that an endpoint accepted no connection. It gets no calls while others are available.
     */
    public void unreachable(Endpoint endpoint) {
        loadOf(endpoint)
                .ifPresent(
                        load -> {
                            load.unreachable();
                            mActive.add(load);
                        });
    }

    /** Returns the endpoints to probe: those that are silent or unreachable. */
    public List<Endpoint> endpointsToProbe(long nowMilliseconds) {
        List<Endpoint> silent = new ArrayList<>();
        for (EndpointLoad load : mActive) {
            if (load.needsProbe(nowMilliseconds, PROBE_AFTER_SILENCE_MILLISECONDS)) {
                silent.add(load.endpoint());
            }
        }
        return silent;
    }

    /**
     * Replaces the data centres whose endpoints get no calls. Those of a data centre that was
     * evacuated before may have become cold meanwhile.
     */
    public void evacuated(Set<String> dataCentres, long nowMilliseconds) {
        Set<String> before = mEvacuated;
        mEvacuated = Set.copyOf(dataCentres);
        LOG.info("evacuations.in_force", "data_centres", mEvacuated);
        for (EndpointLoad load : mLoads.values()) {
            String dataCentre = load.endpoint().zone();
            if (before.contains(dataCentre) && !mEvacuated.contains(dataCentre)) {
                mCold.mayBeCold(load.endpoint(), nowMilliseconds);
            }
        }
    }

    /** Returns the endpoints that bear few calls because they have just started. */
    public ColdEndpoints coldEndpoints() {
        return mCold;
    }

    /** Records a successful response of an endpoint. */
    public void succeeded(Endpoint endpoint) {
        loadOf(endpoint)
                .ifPresent(
                        load -> {
                            load.succeeded();
                            mBrittle.answered(load);
                        });
    }

    /** Records that an endpoint failed a call or could not be reached. */
    public void failed(Endpoint endpoint, long nowMilliseconds) {
        loadOf(endpoint).ifPresent(load -> load.failed(nowMilliseconds));
    }

    /** Records that an endpoint refused a call without running it. */
    public void refused(Endpoint endpoint, long nowMilliseconds) {
        loadOf(endpoint)
                .ifPresent(
                        load -> {
                            load.refused(nowMilliseconds);
                            mBrittle.refused(load, nowMilliseconds);
                        });
    }

    /** Records that an endpoint said that it is shutting down. It gets no new calls. */
    public void leaving(Endpoint endpoint) {
        loadOf(endpoint)
                .filter(load -> !load.isLeaving())
                .ifPresent(
                        load -> {
                            LOG.info("endpoint.leaving", "endpoint", load.incarnation());
                            load.leaving();
                        });
    }

    /** Records that an endpoint asked for no calls for a time. It gets none until it is over. */
    public void paused(Endpoint endpoint, long milliseconds, long nowMilliseconds) {
        loadOf(endpoint)
                .ifPresent(
                        load -> {
                            LOG.info(
                                    "endpoint.paused",
                                    "endpoint",
                                    load.incarnation(),
                                    "milliseconds",
                                    milliseconds);
                            load.pausedFor(milliseconds, nowMilliseconds);
                        });
    }

    /** Replaces the services, by name. */
    public void servicesChanged(Map<String, Service> services) {
        mCold.servicesChanged(services);
        mShared.servicesChanged(services);
    }

    /** Sets the number of gateways that use the same endpoints. */
    public void gatewaysCounted(int gateways) {
        mBrittle.gatewaysCounted(gateways);
        mCold.gatewaysCounted(gateways);
        mShared.gatewaysCounted(gateways);
    }

    /** Returns the services whose endpoints fall over if they have to refuse many calls. */
    public BrittleServices brittleServices() {
        return mBrittle;
    }

    /** Returns whether an endpoint is listed and accepts new calls, as far as it has said. */
    public boolean acceptsCalls(Endpoint endpoint, long nowMilliseconds) {
        return loadOf(endpoint)
                .filter(load -> !load.isLeaving() && acceptsCalls(load, nowMilliseconds))
                .isPresent();
    }

    /**
     * Returns the time until the first endpoint of a service accepts calls again, if all of them
     * have asked for none.
     */
    public OptionalLong pausedMilliseconds(String service, long nowMilliseconds) {
        List<EndpointLoad> staying =
                mByService.getOrDefault(service, List.of()).stream()
                        .filter(load -> !load.isLeaving())
                        .toList();
        boolean arePaused = staying.stream().noneMatch(load -> load.acceptsCalls(nowMilliseconds));
        return arePaused
                ? staying.stream().mapToLong(load -> load.pausedMilliseconds(nowMilliseconds)).min()
                : OptionalLong.empty();
    }

    /** Records the load that an endpoint reported. */
    public void reported(Endpoint endpoint, ReportedLoad load, long nowMilliseconds) {
        loadOf(endpoint).ifPresent(known -> known.loadReported(load, nowMilliseconds));
        if (load.workTimePercent().isPresent()) {
            mShared.reported(endpoint.service());
        }
    }

    /** Returns what was learned about services whose endpoints are known from old sums. */
    public SharedPools sharedPools() {
        return mShared;
    }

    private boolean acceptsCalls(EndpointLoad load, long nowMilliseconds) {
        return load.acceptsCalls(nowMilliseconds) && !mEvacuated.contains(load.endpoint().zone());
    }

    private Optional<EndpointLoad> loadOf(Endpoint endpoint) {
        return Optional.ofNullable(mLoads.get(endpoint.incarnation()));
    }

    private List<EndpointLoad> candidates(
            String service, PriorAttempts priorAttempts, long nowMilliseconds) {
        List<EndpointLoad> accepting =
                mByService.getOrDefault(service, List.of()).stream()
                        .filter(load -> acceptsCalls(load, nowMilliseconds))
                        .filter(load -> mBrittle.hasRoom(load, nowMilliseconds))
                        .filter(load -> mCold.hasRoom(load.endpoint(), nowMilliseconds))
                        .toList();
        return mSplits.candidates(service, accepting, priorAttempts, mRandom);
    }

    private Optional<EndpointLoad> cheapest(
            List<EndpointLoad> candidates, ToDoubleFunction<EndpointLoad> cost) {
        EndpointLoad best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        int ties = 0;
        for (EndpointLoad load : candidates) {
            double loadCost = cost.applyAsDouble(load);
            ties = loadCost == bestCost ? ties + 1 : 1;
            if (loadCost < bestCost || loadCost == bestCost && mRandom.getAsDouble() * ties < 1) {
                best = loadCost < Double.POSITIVE_INFINITY ? load : best;
                bestCost = loadCost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Builds the choice of an endpoint. Cached parts come from the store, which holds the prompt
     * parts that any engine has processed. Without a store, another home engine with the same
     * weights may supply them.
     */
    private EngineChoice toChoice(
            EndpointLoad load,
            List<EndpointLoad> candidates,
            Prompt prompt,
            Homes homes,
            long nowMilliseconds) {
        Endpoint endpoint = load.endpoint();
        Long version = endpoint.weights().get(prompt.model());
        if (version == null) {
            return EngineChoice.plain(endpoint);
        }
        boolean isTooSmallToFetch = prompt.sharedTokens() < MIN_SHARED_TOKENS;
        Optional<String> store =
                isTooSmallToFetch ? Optional.empty() : mStore.addressAt(nowMilliseconds);
        Optional<String> source =
                isTooSmallToFetch || store.isPresent()
                        ? store
                        : mHomes.sourceOf(load, candidates, version, prompt, homes);
        long tokensToRead = PromptCost.tokensToRead(prompt, homes.contains(load));
        long tokensAhead = load.promptTokens(nowMilliseconds);
        return new EngineChoice(
                endpoint,
                OptionalLong.of(version),
                source,
                store,
                tokensToRead,
                tokensAhead,
                load.calls(nowMilliseconds),
                homes.contains(load),
                mShared.firstEventMilliseconds(
                        endpoint.service(), tokensAhead + tokensToRead, endpoint.zone()));
    }

    private double lastResortCost(
            EndpointLoad load, PriorAttempts priorAttempts, long nowMilliseconds) {
        boolean isLast =
                load.isBackingOff(nowMilliseconds)
                        || load.isUnreachable()
                        || mHomes.isLoadingWeights(load);
        boolean mayRefuse = priorAttempts.isLast() && load.isRefusing();
        return (isLast ? LAST_RESORT_COST : 0) + (mayRefuse ? LAST_RESORT_COST : 0);
    }
}
