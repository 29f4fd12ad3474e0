package org.skylarkbend.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Decides what the lines show about the cause of a call's outcome. */
final class CallJudge {
    /** How each outcome in {@code call.ended} is explained. */
    private static final Map<String, Function<CallCase, Finding>> BY_OUTCOME =
            Map.of(
                    "answered", EndpointFindings::answered,
                    "endpoint_timeout", EndpointFindings::timedOut,
                    "endpoint_failed", EndpointFindings::attemptsFailed,
                    "endpoint_refused", EndpointFindings::attemptsFailed,
                    "no_endpoint", EndpointFindings::attemptsFailed,
                    "rate_exceeded", GatewayFindings::limited,
                    "router_draining", GatewayFindings::draining,
                    "overloaded", GatewayFindings::overloaded,
                    "caller_left", GatewayFindings::callerLeft);

    private CallJudge() {}

    static Verdict judge(CallTrace call, Surroundings surroundings) {
        CallCase judged = new CallCase(call, surroundings);
        Finding finding = findingOf(judged);
        List<String> missing = new ArrayList<>(finding.missing());
        missing.addAll(missingOf(judged));
        return new Verdict(
                finding.decided(),
                finding.isCauseShown(),
                finding.inputs(),
                finding.beside(),
                StaleBeliefs.of(call, surroundings),
                List.copyOf(missing));
    }

    private static Finding findingOf(CallCase judged) {
        CallEvent last = judged.call().last();
        if (!judged.call().eventsOf(CallEvent.Quarantined.class).isEmpty()) {
            return GatewayFindings.quarantined(judged);
        }
        if (last instanceof CallEvent.Refused refused) {
            return GatewayFindings.refused(judged, refused);
        }
        if (last instanceof CallEvent.CallerGone) {
            return GatewayFindings.callerGone(last);
        }
        if (last instanceof CallEvent.Ended ended) {
            return Optional.ofNullable(BY_OUTCOME.get(ended.outcome()))
                    .orElse(CallJudge::unknown)
                    .apply(judged);
        }
        return unfinished(judged);
    }

    private static Finding unknown(CallCase judged) {
        return Finding.notShown(
                "the call ended with an outcome that this program does not know",
                List.of(Evidence.of(judged.call().last().line(), "outcome", "status")),
                "the meaning of the outcome");
    }

    /** The lines about the call stop before its end. */
    private static Finding unfinished(CallCase judged) {
        List<Evidence> beside =
                CallCase.evidence(
                        judged.around(
                                        BeliefTopic.FAULT,
                                        BeliefTopic.GATEWAY_LIFE,
                                        BeliefTopic.READINESS)
                                .filter(belief -> belief.process().equals(judged.process())));
        return Finding.notShown(
                        "the lines about the call stop before its end",
                        List.of(),
                        "no call.ended and no call.refused of this call")
                .beside(beside);
    }

    private static List<String> missingOf(CallCase judged) {
        List<String> missing = new ArrayList<>();
        CallTrace call = judged.call();
        if (call.arrivedMicroseconds().isEmpty()) {
            missing.add("the lines about the call have no time: nothing can be shown beside them");
            return missing;
        }
        if (call.processes().size() > 1) {
            missing.add(
                    "lines about this ID in several processes ("
                            + String.join(", ", call.processes())
                            + "): the outcome is that of the last line");
        }
        judged.around(BeliefTopic.DROPPED_LINES)
                .forEach(
                        dropped ->
                                missing.add(
                                        dropped.process()
                                                + " dropped "
                                                + dropped.line().text("lines")
                                                + " lines"));
        if (judged.beliefs(BeliefTopic.CATALOG).findAny().isEmpty()) {
            missing.add("no line says since when " + judged.process() + " had its catalog");
        }
        if (!judged.hasControl()) {
            missing.add(
                    "no log of a control process: leader, owner of the limits, quarantines and"
                            + " orders are not shown");
        }
        String silent =
                judged.surroundings().processes().stream()
                        .filter(process -> process.linesInWindow() == 0)
                        .map(ProcessCoverage::process)
                        .collect(Collectors.joining(", "));
        if (!silent.isEmpty()) {
            missing.add("no lines in that time from " + silent);
        }
        if (judged.surroundings().leftOut() > 0) {
            missing.add(judged.surroundings().leftOut() + " lines beside the call were left out");
        }
        return missing;
    }

    /** Returns the lines of failed attempts, as inputs. */
    static Stream<Evidence> attempts(CallTrace call) {
        return call.eventsOf(CallEvent.AttemptFailed.class).stream()
                .map(attempt -> Evidence.of(attempt.line(), "endpoint", "outcome", "cause"));
    }
}
