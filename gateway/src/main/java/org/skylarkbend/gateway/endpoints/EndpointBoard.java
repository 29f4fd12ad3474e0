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
 * Knows the endpoints of all services and chooses one for each call.
 *
 * <p>A call without a prompt goes to the endpoint with the fewest calls for its slots. A prompt
 * goes where reading it costs least: to the engine that all gateways alike take for the home of its
 * shared parts, unless more waits there than reading those parts elsewhere would take. The state
 * belongs to one task.
 */
public final class EndpointBoard {
    /** The part of the shared tokens that the home of a prompt has to read, on average. */
    private static final double HOME_MISS_SHARE = 0.15;

    /** Reading shared parts elsewhere also takes cache and time from the prompts at home there. */
    private static final double ELSEWHERE_SHARE = 2;

    /** Fewer shared tokens are read as fast as they are fetched. */
    private static final long LEAST_SHARED_TOKENS = 1_000;

    /** A call that waits at an engine counts as a prompt of so many tokens. */
    private static final double TOKENS_OF_WAITING_CALL = 1_500;

    /** A running call slows the reading of prompts as much as so many tokens more to read. */
    private static final double TOKENS_OF_RUNNING_CALL = 60;

    /** An engine at work sends something every 50 ms, and reads the largest prompts in a second. */
    private static final long QUIET_MILLISECONDS = 600;

    /** An endpoint that failed lately, or loads weights, comes after all others. */
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
     * A board without endpoints.
     *
     * @param random draws from 0 to below 1, to choose among equals
     * @param weightsLifeMilliseconds how long calls may begin on weights after newer ones were
     *     named
     */
    public EndpointBoard(DoubleSupplier random, long weightsLifeMilliseconds) {
        mRandom = random;
        mWeights = new WeightsOutlook(weightsLifeMilliseconds);
    }

    /** Whether the endpoints were ever told. */
    public boolean isKnown() {
        return mKnown;
    }

    /** How long ago the endpoints last changed, as far as this gateway was told. */
    public long ageMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - mToldMilliseconds;
    }

    /** Takes the endpoints that are listed now. */
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

    /** Takes the address of the store of cached parts, while there is one that can be reached. */
    public void useStore(Optional<String> address) {
        mStore = address;
    }

    /** Takes the newest versions of weights. */
    public void name(Map<String, Long> versions, long nowMilliseconds) {
        mWeights.name(versions, nowMilliseconds);
    }

    /** What this gateway has under way, without endpoints at which it has nothing. */
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

    /** Takes what all other gateways have under way. */
    public void othersHave(Map<String, EndpointWork> work, long nowMilliseconds) {
        mLoads.forEach(
                (incarnation, load) ->
                        load.othersHave(
                                work.getOrDefault(incarnation, EndpointWork.none()),
                                nowMilliseconds));
    }

    /** Chooses an endpoint for a call without a prompt. */
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

    /** Chooses an engine for a prompt. */
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

    /** A call was sent to an endpoint, with so many prompt tokens to read. */
    public void sent(Endpoint endpoint, long promptTokens, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.begin(promptTokens, nowMilliseconds));
    }

    /** An engine has read the prompt of a call. */
    public void promptRead(Endpoint endpoint, long promptTokens) {
        known(endpoint).ifPresent(load -> load.promptRead(promptTokens));
    }

    /** A call at an endpoint has ended, well or not. */
    public void ended(Endpoint endpoint) {
        known(endpoint).ifPresent(EndpointLoad::end);
    }

    /** An endpoint sent something, or took a connection. */
    public void heard(Endpoint endpoint, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.heard(nowMilliseconds));
    }

    /** An endpoint took no connection: no call goes there while there are others. */
    public void unreachable(Endpoint endpoint) {
        known(endpoint).ifPresent(EndpointLoad::unreachable);
    }

    /** The endpoints that should be asked whether they are there: those that are quiet or lost. */
    public List<Endpoint> quiet(long nowMilliseconds) {
        return mLoads.values().stream()
                .filter(load -> load.isQuiet(nowMilliseconds, QUIET_MILLISECONDS))
                .map(EndpointLoad::endpoint)
                .toList();
    }

    /** An endpoint answered properly. */
    public void succeeded(Endpoint endpoint) {
        known(endpoint).ifPresent(EndpointLoad::succeeded);
    }

    /** An endpoint failed a call, refused it or could not be reached. */
    public void failed(Endpoint endpoint, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.failed(nowMilliseconds));
    }

    /** An endpoint refused a call without running it. */
    public void refused(Endpoint endpoint, long nowMilliseconds) {
        known(endpoint).ifPresent(load -> load.refused(nowMilliseconds));
    }

    /** An endpoint said what it has to do. */
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
     * The store keeps what any engine has read. Without it, another home with the same weights may
     * hold the shared parts and hand them over.
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
     * The engines by their score for a key: in the same order at every gateway. The first is the
     * home of the prompt. An engine that loads weights or cannot be reached is no home, so that its
     * prompts have one other home meanwhile.
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
