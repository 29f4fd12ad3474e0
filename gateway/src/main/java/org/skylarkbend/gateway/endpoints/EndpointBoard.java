package org.skylarkbend.gateway.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.SiteMessage.Endpoints;

/**
 * Tracks the endpoints of all services and selects one for each call.
 *
 * <p>A call without a prompt goes to the endpoint with the fewest calls per slot. A call with a
 * prompt goes to the engine with the lowest estimated cost of processing it: this is usually the
 * home engine of its shared parts, which all gateways derive alike by rendezvous hashing, unless
 * its queue costs more than processing the shared parts on another engine. The state is confined to
 * one task.
 */
public final class EndpointBoard {
    /** Average fraction of the shared tokens that the home engine of a prompt has to process. */
    private static final double HOME_MISS_SHARE = 0.15;

    /**
     * Cost per shared token on another engine. It is above 1 because the prompt also takes cache
     * space and time from the prompts whose home is there.
     */
    private static final double ELSEWHERE_SHARE = 2;

    /** Below this number, processing the shared tokens is as fast as fetching them from a cache. */
    private static final long LEAST_SHARED_TOKENS = 1_000;

    /** Cost of a waiting call, in prompt tokens. */
    private static final double TOKENS_OF_WAITING_CALL = 1_500;

    /** Cost of a running call, in prompt tokens, because it slows the processing of prompts. */
    private static final double TOKENS_OF_RUNNING_CALL = 60;

    /**
     * Time without data after which a busy endpoint is probed. A busy engine sends something every
     * 50 ms, and processes the largest prompts within a second.
     */
    private static final long QUIET_MILLISECONDS = 600;

    /**
     * Additional cost of an endpoint that failed recently, is unreachable or loads weights. It
     * ranks such an endpoint after all others.
     */
    static final double LAST_RESORT = 1e9;

    private final DoubleSupplier mRandom;
    private final WeightsOutlook mWeights;
    private final Map<String, EndpointLoad> mLoads = new HashMap<>();
    private final Map<String, List<EndpointLoad>> mByService = new HashMap<>();
    private Set<String> mLoading = Set.of();
    private Optional<String> mStore = Optional.empty();
    private boolean mKnown;
    private long mToldMilliseconds;

    /**
     * Creates a selector without endpoints.
     *
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive), for ties
     * @param weightsLifeMilliseconds time for which new calls may still use old weights after newer
     *     ones were announced
     */
    public EndpointBoard(DoubleSupplier random, long weightsLifeMilliseconds) {
        mRandom = random;
        mWeights = new WeightsOutlook(weightsLifeMilliseconds);
    }

    /** Returns whether the list of endpoints was ever received. */
    public boolean isKnown() {
        return mKnown;
    }

    /** Returns the time since the list of endpoints was last received. */
    public long ageMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - mToldMilliseconds;
    }

    /** Replaces the list of endpoints. The load of endpoints that remain listed is kept. */
    public void replace(Endpoints endpoints, long nowMilliseconds) {
        mKnown = true;
        mToldMilliseconds = nowMilliseconds;
        mLoading = endpoints.loading();
        Map<String, EndpointLoad> present = new HashMap<>();
        mByService.clear();
        for (Endpoint endpoint : endpoints.endpoints()) {
            EndpointLoad load =
                    mLoads.getOrDefault(endpoint.incarnation(), new EndpointLoad(endpoint));
            load.update(endpoint);
            present.put(endpoint.incarnation(), load);
            if (!endpoint.leaving()) {
                mByService.computeIfAbsent(endpoint.service(), name -> new ArrayList<>()).add(load);
            }
        }
        mLoads.clear();
        mLoads.putAll(present);
    }

    /** Sets the address of the store of cached prompt parts; empty while none is reachable. */
    public void useStore(Optional<String> address) {
        mStore = address;
    }

    /** Records the newest announced version of the weights of each model. */
    public void name(Map<String, Long> versions, long nowMilliseconds) {
        mWeights.name(versions, nowMilliseconds);
    }

    /**
     * Returns the work of this gateway in flight, by endpoint, without endpoints that have none.
     */
    public Map<String, EndpointWork> ownWork() {
        Map<String, EndpointWork> work = new HashMap<>();
        mLoads.forEach(
                (incarnation, load) -> {
                    if (!load.own().equals(EndpointWork.none())) {
                        work.put(incarnation, load.own());
                    }
                });
        return work;
    }

    /** Records the work that all other gateways together have in flight, by endpoint. */
    public void othersHave(Map<String, EndpointWork> work, long nowMilliseconds) {
        mLoads.forEach(
                (incarnation, load) ->
                        load.othersHave(
                                work.getOrDefault(incarnation, EndpointWork.none()),
                                nowMilliseconds));
    }

    /** Selects an endpoint for a call without a prompt. */
    public Optional<EngineChoice> choose(String service, Tries tries, long nowMilliseconds) {
        return least(
                        service,
                        tries,
                        load ->
                                (double) load.calls(nowMilliseconds)
                                                / Math.max(1, load.endpoint().slots())
                                        + lastResort(load, nowMilliseconds))
                .map(EngineChoice::plain);
    }

    /** Selects an engine for a call with a prompt. */
    public Optional<EngineChoice> choose(
            String service, Prompt prompt, String scope, Tries tries, long nowMilliseconds) {
        String key = prompt.sharedKey();
        List<EndpointLoad> homes =
                key.isEmpty() ? List.of() : homesOf(service, prompt.model(), scope + key);
        Map<EndpointLoad, Integer> turns =
                mWeights.turns(mByService.getOrDefault(service, List.of()), prompt.model());
        return least(
                        service,
                        tries,
                        load -> {
                            if (!serves(load, prompt.model())) {
                                return Double.POSITIVE_INFINITY;
                            }
                            boolean isHome = isHome(load.endpoint(), homes);
                            double share = isHome ? HOME_MISS_SHARE : ELSEWHERE_SHARE;
                            return share * prompt.sharedTokens()
                                    + load.promptTokens(nowMilliseconds)
                                    + load.waiting(nowMilliseconds) * TOKENS_OF_WAITING_CALL
                                    + load.calls(nowMilliseconds) * TOKENS_OF_RUNNING_CALL
                                    + mWeights.cost(load, turns, prompt, nowMilliseconds)
                                    + lastResort(load, nowMilliseconds);
                        })
                .map(endpoint -> asChoice(endpoint, prompt, homes, nowMilliseconds));
    }

    private static boolean isHome(Endpoint endpoint, List<EndpointLoad> homes) {
        return !homes.isEmpty()
                && homes.get(0).endpoint().incarnation().equals(endpoint.incarnation());
    }

    /** Records that a call was sent to an endpoint, with the number of prompt tokens to process. */
    public void sent(Endpoint endpoint, long promptTokens, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.begin(promptTokens, nowMilliseconds));
    }

    /** Records that an engine has processed the prompt of a call. */
    public void promptRead(Endpoint endpoint, long promptTokens) {
        known(endpoint).ifPresent(load -> load.promptRead(promptTokens));
    }

    /** Records the end of a call at an endpoint, successful or not. */
    public void ended(Endpoint endpoint) {
        known(endpoint).ifPresent(EndpointLoad::end);
    }

    /** Records that an endpoint sent data or accepted a connection. */
    public void heard(Endpoint endpoint, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.heard(nowMilliseconds));
    }

    /**
     * Records that an endpoint accepted no connection. It gets no calls while others are available.
     */
    public void unreachable(Endpoint endpoint) {
        known(endpoint).ifPresent(EndpointLoad::unreachable);
    }

    /** Returns the endpoints to probe: those that are silent or unreachable. */
    public List<Endpoint> quiet(long nowMilliseconds) {
        return mLoads.values().stream()
                .filter(load -> load.isQuiet(nowMilliseconds, QUIET_MILLISECONDS))
                .map(EndpointLoad::endpoint)
                .toList();
    }

    /** Records a successful response of an endpoint. */
    public void succeeded(Endpoint endpoint) {
        known(endpoint).ifPresent(EndpointLoad::succeeded);
    }

    /** Records that an endpoint failed a call or could not be reached. */
    public void failed(Endpoint endpoint, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.failed(nowMilliseconds));
    }

    /** Records that an endpoint refused a call without running it. */
    public void refused(Endpoint endpoint, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.refused(nowMilliseconds));
    }

    /** Records the load that an endpoint reported. */
    public void reported(Endpoint endpoint, int running, int waiting, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.report(running, waiting, nowMilliseconds));
    }

    private Optional<EndpointLoad> known(Endpoint endpoint) {
        return Optional.ofNullable(mLoads.get(endpoint.incarnation()));
    }

    private Optional<Endpoint> least(
            String service, Tries tries, ToDoubleFunction<EndpointLoad> cost) {
        EndpointLoad best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        int equals = 0;
        for (EndpointLoad load : mByService.getOrDefault(service, List.of())) {
            if (tries.incarnations().contains(load.endpoint().incarnation())) {
                continue;
            }
            double own = cost.applyAsDouble(load);
            own += tries.isLast() && load.isRefusing() ? LAST_RESORT : 0;
            equals = own == bestCost ? equals + 1 : 1;
            if (own < bestCost || own == bestCost && mRandom.getAsDouble() * equals < 1) {
                best = own < Double.POSITIVE_INFINITY ? load : best;
                bestCost = own;
            }
        }
        return Optional.ofNullable(best).map(EndpointLoad::endpoint);
    }

    /**
     * Builds the choice of an endpoint. Cached parts come from the store, which holds the prompt
     * parts that any engine has processed. Without a store, another home engine with the same
     * weights may supply them.
     */
    private EngineChoice asChoice(
            Endpoint endpoint, Prompt prompt, List<EndpointLoad> homes, long nowMilliseconds) {
        Long version = endpoint.weights().get(prompt.model());
        if (version == null) {
            return EngineChoice.plain(endpoint);
        }
        boolean sharesLittle = prompt.sharedTokens() < LEAST_SHARED_TOKENS;
        Optional<String> source =
                sharesLittle ? Optional.empty() : sourceOf(endpoint, version, prompt, homes);
        double missShare = isHome(endpoint, homes) ? HOME_MISS_SHARE : 1;
        long ownTokens = prompt.promptTokens() - prompt.sharedTokens();
        return new EngineChoice(
                endpoint,
                OptionalLong.of(version),
                source,
                sharesLittle ? Optional.empty() : mStore,
                ownTokens + (long) (missShare * prompt.sharedTokens()),
                known(endpoint).map(load -> load.promptTokens(nowMilliseconds)).orElse(0L));
    }

    private Optional<String> sourceOf(
            Endpoint endpoint, Long version, Prompt prompt, List<EndpointLoad> homes) {
        if (mStore.isPresent()) {
            return mStore;
        }
        return homes.stream()
                .map(EndpointLoad::endpoint)
                .filter(home -> !home.incarnation().equals(endpoint.incarnation()))
                .filter(home -> version.equals(home.weights().get(prompt.model())))
                .map(Endpoint::address)
                .findFirst();
    }

    /**
     * Returns the engines in rendezvous hash order for a key, which is the same at every gateway.
     * The first one is the home engine of the prompt. Engines that load weights or are unreachable
     * are left out, so that all gateways use the same substitute meanwhile.
     */
    private List<EndpointLoad> homesOf(String service, String model, String key) {
        Map<EndpointLoad, Long> scores = new HashMap<>();
        for (EndpointLoad load : mByService.getOrDefault(service, List.of())) {
            String incarnation = load.endpoint().incarnation();
            boolean isAway = mLoading.contains(incarnation) || load.isUnreachable();
            if (serves(load, model) && !isAway) {
                scores.put(load, mix(key.hashCode() * 31L + incarnation.hashCode()));
            }
        }
        List<EndpointLoad> homes = new ArrayList<>(scores.keySet());
        homes.sort(Comparator.comparing(scores::get, Comparator.reverseOrder()));
        return homes;
    }

    private static boolean serves(EndpointLoad load, String model) {
        Map<String, Long> weights = load.endpoint().weights();
        return weights.isEmpty() || model.isEmpty() || weights.containsKey(model);
    }

    private double lastResort(EndpointLoad load, long nowMilliseconds) {
        boolean isLast =
                load.isPaused(nowMilliseconds)
                        || load.isUnreachable()
                        || mLoading.contains(load.endpoint().incarnation());
        return isLast ? LAST_RESORT : 0;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
