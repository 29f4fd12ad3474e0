package org.skylarkbend.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;
import java.util.stream.Stream;

/** Finds beliefs of the processes of a call that other lines contradict. */
final class StaleBeliefs {
    private static final List<BiFunction<CallTrace, Surroundings, List<StaleBelief>>> CHECKS =
            List.of(
                    StaleBeliefs::catalog,
                    StaleBeliefs::endpoints,
                    StaleBeliefs::controlLink,
                    StaleBeliefs::endpointList);

    private StaleBeliefs() {}

    static List<StaleBelief> of(CallTrace call, Surroundings surroundings) {
        return CHECKS.stream().flatMap(c -> c.apply(call, surroundings).stream()).toList();
    }

    /** A gateway served by an older catalog than another process had when the call arrived. */
    private static List<StaleBelief> catalog(CallTrace call, Surroundings surroundings) {
        OptionalLong number = catalogOf(call.last());
        Optional<Belief> newest = surroundings.newestCatalog();
        boolean isStale =
                number.isPresent()
                        && newest.isPresent()
                        && newest.get().line().number("number").orElse(0) > number.getAsLong();
        return isStale
                ? List.of(
                        new StaleBelief(
                                processOf(call.last()),
                                "catalog " + number.getAsLong() + " was the newest",
                                newest.get()))
                : List.of();
    }

    private static OptionalLong catalogOf(CallEvent event) {
        return event.line().number("catalog");
    }

    /** A gateway sent the call to an endpoint that another one had lost before. */
    private static List<StaleBelief> endpoints(CallTrace call, Surroundings surroundings) {
        List<StaleBelief> stale = new ArrayList<>();
        for (CallEvent event : call.events()) {
            OptionalLong time = call.timeOf(event.line());
            if (event instanceof CallEvent.WaitedAtCrash || time.isEmpty()) {
                continue;
            }
            long sentByMicroseconds = call.arrivedMicroseconds().orElse(time.getAsLong());
            event.endpoint().stream()
                    .flatMap(e -> lastStates(surroundings, e, sentByMicroseconds))
                    .filter(state -> !state.process().equals(processOf(event)))
                    .filter(state -> !state.line().name().equals("endpoint.regained"))
                    .map(state -> usable(event, state))
                    .filter(found -> !stale.contains(found))
                    .forEach(stale::add);
        }
        return stale;
    }

    private static StaleBelief usable(CallEvent event, Belief state) {
        return new StaleBelief(
                processOf(event), event.line().text("endpoint") + " takes calls", state);
    }

    private static Stream<Belief> lastStates(
            Surroundings surroundings, String endpoint, long untilMicroseconds) {
        Map<String, Belief> lastByProcess = new LinkedHashMap<>();
        until(surroundings, untilMicroseconds)
                .filter(belief -> belief.topic() == BeliefTopic.ENDPOINT)
                .filter(belief -> belief.line().text("endpoint").equals(endpoint))
                .forEach(belief -> lastByProcess.put(belief.process(), belief));
        return lastByProcess.values().stream();
    }

    /** The gateway had lost control, and knew neither new catalogs nor changes of endpoints. */
    private static List<StaleBelief> controlLink(CallTrace call, Surroundings surroundings) {
        return last(call, surroundings, BeliefTopic.CONTROL_LINK, processOf(call.last()))
                .filter(belief -> belief.line().name().equals("link.control.lost"))
                .map(
                        belief ->
                                new StaleBelief(
                                        belief.process(),
                                        "catalog and endpoints as before the loss of control",
                                        belief))
                .stream()
                .toList();
    }

    /** Control had lost the platform's list. */
    private static List<StaleBelief> endpointList(CallTrace call, Surroundings surroundings) {
        return last(call, surroundings, BeliefTopic.ENDPOINT_LIST, "")
                .filter(belief -> belief.line().name().equals("endpoints.list.lost"))
                .map(
                        belief ->
                                new StaleBelief(
                                        belief.process(),
                                        "endpoints as before the loss of the platform's list",
                                        belief))
                .stream()
                .toList();
    }

    private static Optional<Belief> last(
            CallTrace call, Surroundings surroundings, BeliefTopic topic, String process) {
        long endMicroseconds = call.timeOf(call.last().line()).orElse(Long.MIN_VALUE);
        return until(surroundings, endMicroseconds)
                .filter(belief -> belief.topic() == topic)
                .filter(belief -> process.isEmpty() || belief.process().equals(process))
                .reduce((earlier, later) -> later);
    }

    private static Stream<Belief> until(Surroundings surroundings, long untilMicroseconds) {
        return Stream.concat(surroundings.before().stream(), surroundings.during().stream())
                .filter(belief -> belief.timeMicroseconds() <= untilMicroseconds);
    }

    private static String processOf(CallEvent event) {
        return event.line().origin().process();
    }
}
