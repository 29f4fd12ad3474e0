package org.skylarkbend.explain;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;

/** What a line may say about the belief or the state of a process, and which calls it concerns. */
public enum BeliefTopic {
    /** The catalog that a gateway serves by. */
    CATALOG(BeliefTopic::ofCallProcess, "catalog.in_force"),
    /** Catalogs that a gateway could not read. */
    CATALOG_REFUSED(BeliefTopic::ofCallProcess, "catalog.refused"),
    /** Whether a gateway reaches control. */
    CONTROL_LINK(BeliefTopic::ofCallProcess, "link.control.reached", "link.control.lost"),
    /** What went wrong on a gateway's connection to control. */
    CONTROL_LINK_FAULT(
            BeliefTopic::ofCallProcess, "link.endpoints.gap", "link.message.garbled", "link.list"),
    /** Whether a gateway takes calls. */
    READINESS(BeliefTopic::ofCallProcess, "gateway.ready", "gateway.draining", "gateway.drained"),
    /** Start and end of a gateway. */
    GATEWAY_LIFE(BeliefTopic::ofCallProcess, "front.started", "front.ended"),
    /** Faults of a process. */
    FAULT(BeliefTopic::ofAnyProcess, "process.failed", "task.exception", "front.failed"),
    /** Lines that a gateway did not write. */
    DROPPED_LINES(BeliefTopic::ofCallProcess, "log.dropped"),
    /** Memory of a gateway. */
    MEMORY(BeliefTopic::ofCallProcess, "memory.full", "memory.free"),
    /** Settings of a gateway. */
    SETTINGS(
            BeliefTopic::ofCallProcess,
            "settings.reloaded",
            "settings.refused",
            "settings.unreadable"),
    /** Bytes from an endpoint that belong to no response. */
    STRAY_BYTES(BeliefTopic::ofCallProcess, "endpoint.stray_bytes"),
    /** What a gateway was told of quarantines. */
    QUARANTINE_NOTICE(BeliefTopic::ofCallProcess, "quarantine.notice"),
    /** Whether an endpoint can be reached, as any gateway knows it. */
    ENDPOINT(BeliefTopic::ofCallEndpoint, "endpoint.lost", "endpoint.regained", "endpoint.crashed"),
    /** Whether a gateway reaches the endpoints by itself. */
    REACH(BeliefTopic::ofCallProcess, "gateway.cut_off", "gateway.reconnected"),
    /** Whether the endpoints of a service fall over if they refuse many calls. */
    BRITTLE_SERVICE(BeliefTopic::ofCallService, "service.brittle", "service.sound"),
    /** Tokens that a gateway gave up without control. */
    LAPSED_TOKENS(BeliefTopic::ofCallProcess, "limits.tokens.lapsed"),
    /** Whether an endpoint wants calls. */
    ENDPOINT_WISH(BeliefTopic::ofCallEndpoint, "endpoint.leaving", "endpoint.paused"),
    /** Orders to an engine. */
    WEIGHTS(BeliefTopic::ofCallEngine, "weights.ordered"),
    /** The catalog that control has. */
    SITE_CATALOG(BeliefTopic::ofAnyProcess, "site.catalog"),
    /** The leader of control. */
    LEADER(BeliefTopic::ofAnyProcess, "agreement.role"),
    /** The owner of the limits. */
    LIMIT_OWNER(BeliefTopic::ofAnyProcess, "control.limits.owner"),
    /** Quarantines in force. */
    QUARANTINE(BeliefTopic::ofAnyProcess, "quarantine.imposed", "quarantine.lifted"),
    /** The platform's list of endpoints, at the leader. */
    ENDPOINT_LIST(BeliefTopic::ofAnyProcess, "endpoints.list.lost", "endpoints.list.reached"),
    /** Rollouts. */
    ROLLOUT(BeliefTopic::ofCallService, "rollout.phase"),
    /** Disks of control. */
    DISK(BeliefTopic::ofAnyProcess, "agreement.disk.failed"),
    /** Start and end of a control process. */
    CONTROL_LIFE(
            BeliefTopic::ofAnyProcess,
            "core.started",
            "core.failed",
            "control.started",
            "control.failed",
            "control.ended");

    private static final Set<BeliefTopic> OF_CONTROL =
            Set.of(SITE_CATALOG, LEADER, LIMIT_OWNER, QUARANTINE, ENDPOINT_LIST, CONTROL_LIFE);

    private final BiPredicate<CallTrace, LogLine.Event> mConcerns;
    private final Set<String> mEvents;

    BeliefTopic(BiPredicate<CallTrace, LogLine.Event> concerns, String... events) {
        mConcerns = concerns;
        mEvents = Set.of(events);
    }

    /** Returns the topic of a line, or empty if it says nothing of the kind. */
    public static Optional<BeliefTopic> of(LogLine.Event line) {
        return Arrays.stream(values())
                .filter(topic -> topic.mEvents.contains(line.name()))
                .findFirst();
    }

    /** Returns whether a line of this topic concerns the call. */
    public boolean concerns(CallTrace call, LogLine.Event line) {
        return mConcerns.test(call, line);
    }

    /** Returns whether only control processes write lines of this topic. */
    public boolean isOfControl() {
        return OF_CONTROL.contains(this);
    }

    private static boolean ofAnyProcess(CallTrace call, LogLine.Event line) {
        return true;
    }

    private static boolean ofCallProcess(CallTrace call, LogLine.Event line) {
        return call.processes().contains(line.origin().process());
    }

    /** A call that reached no endpoint is concerned by all that its gateway knew of endpoints. */
    private static boolean ofCallEndpoint(CallTrace call, LogLine.Event line) {
        return call.endpoints().isEmpty()
                ? ofCallProcess(call, line)
                : call.endpoints().contains(line.text("endpoint"));
    }

    /** An incarnation begins with the name of the engine. */
    private static boolean ofCallEngine(CallTrace call, LogLine.Event line) {
        String engine = line.text("engine");
        return call.endpoints().stream()
                .anyMatch(endpoint -> endpoint.equals(engine) || endpoint.startsWith(engine + "@"));
    }

    private static boolean ofCallService(CallTrace call, LogLine.Event line) {
        return call.eventsOf(CallEvent.Ended.class).stream()
                .anyMatch(ended -> ended.line().text("service").equals(line.text("service")));
    }
}
