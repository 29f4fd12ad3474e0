package org.skylarkbend.router.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.membership.EndpointCondition;
import org.skylarkbend.placement.CacheScope;
import org.skylarkbend.placement.EngineIncarnation;
import org.skylarkbend.placement.PlacementChoice;
import org.skylarkbend.placement.PlacementDecider;
import org.skylarkbend.placement.PlacementMessage;
import org.skylarkbend.placement.PlacementRequest;
import org.skylarkbend.placement.PrefixChain;
import org.skylarkbend.placement.PromptMessage;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.publishing.EndpointKind;
import org.skylarkbend.publishing.EndpointVersion;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Route;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.watch.EndpointStatus;
import org.skylarkbend.router.watch.EndpointsView;
import org.skylarkbend.router.watch.LoadReport;

/**
 * Chooses endpoints for calls. Engines are chosen by the placement decider, plain services by the
 * lowest number of in-flight calls from this router. Endpoints that are shutting down receive no
 * new calls; suspect ones only when there is no live one. Confined to the forwarding task.
 */
final class CallPlacement {
    private final PlacementDecider mDecider;
    private final Map<ObjectName, Integer> mInFlight = new HashMap<>();
    private final Map<ObjectName, EngineIncarnation> mLiveEngines = new HashMap<>();
    private PublishedSet mSet = PublishedSet.empty();
    private EndpointsView mEndpoints = EndpointsView.unknown();

    CallPlacement(PlacementDecider decider) {
        mDecider = decider;
    }

    void applySet(PublishedSet set, long nowMilliseconds) {
        mSet = set;
        update(nowMilliseconds);
    }

    void applyEndpoints(EndpointsView endpoints, long nowMilliseconds) {
        mEndpoints = endpoints;
        update(nowMilliseconds);
    }

    void apply(PlacementMessage message, long nowMilliseconds) {
        mDecider.apply(message, nowMilliseconds);
    }

    /** Returns the number of endpoints that may receive new calls of the route. */
    int liveEndpoints(Route route) {
        return candidates(route, Set.of()).size();
    }

    /** Chooses an endpoint for the next attempt of a call, or returns empty if none is left. */
    Optional<Endpoint> choose(Call call, Set<ObjectName> tried, long nowMilliseconds) {
        Route route = call.grant().route();
        if (call.chat().isPresent()) {
            Optional<PlacementChoice> choice =
                    mDecider.choose(requestOf(call, tried), nowMilliseconds);
            if (choice.isPresent()) {
                return choice.map(c -> mSet.endpoints().get(c.engine().endpoint()));
            }
        }
        return candidates(route, tried).stream()
                .min(Comparator.comparing(endpoint -> mInFlight.getOrDefault(endpoint.name(), 0)));
    }

    void sent(Call call, String attempt, ObjectName endpoint, long nowMilliseconds) {
        mInFlight.merge(endpoint, 1, Integer::sum);
        if (call.chat().isPresent() && mLiveEngines.containsKey(endpoint)) {
            apply(
                    new PlacementMessage.RequestSent(
                            attempt, mLiveEngines.get(endpoint), requestOf(call, Set.of())),
                    nowMilliseconds);
        }
    }

    void firstTokenReceived(String attempt, long nowMilliseconds) {
        apply(new PlacementMessage.FirstTokenReceived(attempt), nowMilliseconds);
    }

    void ended(
            String attempt,
            ObjectName endpoint,
            Optional<Long> cachedTokens,
            long nowMilliseconds) {
        mInFlight.merge(endpoint, -1, (a, b) -> a + b == 0 ? null : a + b);
        apply(
                cachedTokens.isPresent()
                        ? new PlacementMessage.RequestFinished(attempt, cachedTokens.get())
                        : new PlacementMessage.RequestFailed(attempt),
                nowMilliseconds);
    }

    /** Returns the scope of a call's prefix cache entries. */
    CacheScope cacheScopeOf(Call call) {
        ObjectName name = call.grant().route().version();
        EndpointVersion version = mSet.versions().get(name);
        boolean hasWeights = version != null && !version.weights().isEmpty();
        String weights = hasWeights ? version.weights() : name.value();
        return call.customerName()
                .map(customer -> CacheScope.of(customer, weights, ""))
                .orElseGet(() -> CacheScope.withoutCustomer(weights, ""));
    }

    private PlacementRequest requestOf(Call call, Set<ObjectName> excluded) {
        List<PromptMessage> messages =
                call.chat().orElseThrow().messages().stream()
                        .map(message -> new PromptMessage(message.role(), message.content()))
                        .toList();
        Route route = call.grant().route();
        return new PlacementRequest(
                route.pool(),
                route.version(),
                cacheScopeOf(call),
                PrefixChain.ofMessages(messages),
                route.priority(),
                call.chat().orElseThrow().maxResponseTokens(),
                excluded);
    }

    private List<Endpoint> candidates(Route route, Set<ObjectName> tried) {
        Map<EndpointCondition, List<Endpoint>> byCondition =
                mSet.endpoints().values().stream()
                        .filter(endpoint -> endpoint.pool().equals(route.pool()))
                        .filter(endpoint -> endpoint.kind() == route.kind())
                        .filter(endpoint -> !tried.contains(endpoint.name()))
                        .filter(endpoint -> versionsOf(endpoint).contains(route.version()))
                        .collect(Collectors.groupingBy(e -> mEndpoints.of(e.name()).condition()));
        return byCondition.getOrDefault(
                EndpointCondition.LIVE,
                byCondition.getOrDefault(EndpointCondition.SUSPECT, List.of()));
    }

    private Set<ObjectName> versionsOf(Endpoint endpoint) {
        Set<ObjectName> versions = new HashSet<>();
        Optional<LoadReport> load = mEndpoints.of(endpoint.name()).load();
        load.ifPresent(
                report ->
                        report.versions().stream()
                                .filter(ObjectName::isValid)
                                .map(ObjectName::of)
                                .forEach(versions::add));
        if (versions.isEmpty()) {
            versions.add(endpoint.version());
        }
        return versions;
    }

    private void update(long nowMilliseconds) {
        for (ObjectName name : Set.copyOf(mLiveEngines.keySet())) {
            if (!mSet.endpoints().containsKey(name)) {
                removeEngine(name, nowMilliseconds);
            }
        }
        for (Endpoint endpoint : mSet.endpoints().values()) {
            if (endpoint.kind() == EndpointKind.ENGINE) {
                updateEngine(endpoint, nowMilliseconds);
            }
        }
    }

    private void updateEngine(Endpoint endpoint, long nowMilliseconds) {
        EndpointStatus status = mEndpoints.of(endpoint.name());
        if (status.condition() != EndpointCondition.LIVE) {
            removeEngine(endpoint.name(), nowMilliseconds);
            return;
        }
        long number = status.load().map(LoadReport::incarnation).orElse(0L);
        EngineIncarnation engine = new EngineIncarnation(endpoint.name(), number);
        mLiveEngines.put(endpoint.name(), engine);
        apply(
                new PlacementMessage.EndpointAdded(engine, endpoint.pool(), versionsOf(endpoint)),
                nowMilliseconds);
        status.load().ifPresent(load -> apply(reportOf(engine, load), nowMilliseconds));
    }

    private void removeEngine(ObjectName endpoint, long nowMilliseconds) {
        if (mLiveEngines.remove(endpoint) != null) {
            apply(new PlacementMessage.EndpointRemoved(endpoint), nowMilliseconds);
        }
    }

    private static PlacementMessage.LoadReport reportOf(EngineIncarnation engine, LoadReport load) {
        return new PlacementMessage.LoadReport(
                engine,
                (int) load.running(),
                (int) load.queued(),
                load.queuedPromptTokens(),
                load.asOfMilliseconds());
    }
}
