package org.skylarkbend.explain;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Explains outcomes that were decided by a gateway. */
final class GatewayFindings {
    /** What a gateway goes by when it refuses a call of a kind on arrival. */
    private static final Map<String, List<BeliefTopic>> INPUTS_OF_REFUSALS =
            Map.of(
                    "router_stale",
                    List.of(
                            BeliefTopic.CATALOG,
                            BeliefTopic.CONTROL_LINK,
                            BeliefTopic.GATEWAY_LIFE,
                            BeliefTopic.LEADER),
                    "router_draining",
                    List.of(BeliefTopic.READINESS),
                    "overloaded",
                    List.of(BeliefTopic.MEMORY),
                    "route_unknown",
                    List.of(BeliefTopic.CATALOG),
                    "key_refused",
                    List.of(BeliefTopic.CATALOG));

    private GatewayFindings() {}

    static Finding refused(CallCase judged, CallEvent.Refused refused) {
        BeliefTopic[] topics =
                INPUTS_OF_REFUSALS
                        .getOrDefault(refused.kind(), List.of())
                        .toArray(BeliefTopic[]::new);
        return Finding.shown(
                        "refused on arrival as " + refused.kind() + ": " + refused.detail(),
                        List.of(Evidence.of(refused.line(), "kind", "catalog")))
                .from(CallCase.evidence(judged.beliefs(topics)));
    }

    /** The line says that the customer is at its limit, and not which tokens the gateway held. */
    static Finding limited(CallCase judged) {
        List<Evidence> owners =
                CallCase.evidence(
                        Stream.concat(
                                        judged.beliefs(BeliefTopic.LIMIT_OWNER),
                                        judged.around(BeliefTopic.LIMIT_OWNER))
                                .distinct());
        boolean hasChange = judged.around(BeliefTopic.LIMIT_OWNER).findAny().isPresent();
        String held = "how many tokens the gateway held for the customer is not logged";
        Evidence end = Evidence.of(judged.call().last().line(), "customer", "catalog", "tried");
        return Finding.notShown(
                        hasChange
                                ? "the gateway had no tokens left for the customer, close to a"
                                        + " change of the limits' owner"
                                : "the gateway had no tokens left for the customer",
                        List.of(end),
                        hasChange
                                ? held + ": the customer is at its limit, or an owner was missing"
                                : held)
                .beside(owners);
    }

    static Finding quarantined(CallCase judged) {
        List<CallEvent.Quarantined> refusals = judged.call().eventsOf(CallEvent.Quarantined.class);
        CallEvent.Quarantined refusal = refusals.get(refusals.size() - 1);
        Set<String> parts = partsOf(refusal.parts());
        List<Evidence> imposed =
                CallCase.evidence(
                        judged.beliefs(BeliefTopic.QUARANTINE)
                                .filter(
                                        belief ->
                                                parts.containsAll(
                                                        partsOf(belief.line().text("parts")))));
        String decided =
                refusal.waited()
                        ? "the call was taken back from an engine because its prompt is quarantined"
                        : "the call was refused because its prompt is quarantined";
        Evidence input = Evidence.of(refusal.line(), "parts", "remaining_milliseconds");
        return imposed.isEmpty()
                ? Finding.shown(
                        decided, List.of(input), "no quarantine.imposed of parts of this prompt")
                : Finding.shown(decided, List.of(input)).from(imposed);
    }

    private static Set<String> partsOf(String parts) {
        return Arrays.stream(parts.split("[+, ]+"))
                .filter(part -> !part.isEmpty())
                .collect(Collectors.toSet());
    }

    static Finding draining(CallCase judged) {
        List<Evidence> draining =
                CallCase.evidence(
                        judged.beliefs(BeliefTopic.READINESS)
                                .filter(b -> b.line().name().equals("gateway.draining")));
        String decided = "the gateway was shutting down";
        return draining.isEmpty()
                ? Finding.notShown(decided, List.of(), "no gateway.draining of " + judged.process())
                : Finding.shown(decided, draining);
    }

    /** The deadline passed before an endpoint can have run the call. */
    static Finding overloaded(CallCase judged) {
        return Finding.notShown(
                        "the deadline of the call passed before an endpoint can have run it",
                        List.of(
                                Evidence.of(
                                        judged.call().last().line(),
                                        "endpoint",
                                        "tried",
                                        "tokens_ahead",
                                        "elapsed_milliseconds")),
                        "what the call waited for: tokens of its customer or room at an endpoint")
                .beside(
                        CallCase.evidence(
                                judged.beliefs(BeliefTopic.MEMORY, BeliefTopic.LIMIT_OWNER)));
    }

    static Finding callerLeft(CallCase judged) {
        return Finding.shown(
                "the caller closed its connection before the call was done",
                List.of(
                        Evidence.of(
                                judged.call().last().line(), "endpoint", "elapsed_milliseconds")),
                "why the caller left: no line of the caller is read");
    }

    static Finding callerGone(CallEvent gone) {
        return Finding.shown(
                "the caller left while its call waited for the gateway to start",
                List.of(Evidence.of(gone.line(), "id")));
    }
}
