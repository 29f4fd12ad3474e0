package org.skylarkbend.explain;

import java.util.List;
import java.util.stream.Stream;

/** Explains outcomes that were decided by endpoints. */
final class EndpointFindings {
    /** A gateway logs what it received within this time after it has ended the call. */
    private static final long LATE_LINE_MICROSECONDS = 10_000;

    private EndpointFindings() {}

    static Finding answered(CallCase judged) {
        CallEvent.Ended ended = (CallEvent.Ended) judged.call().last();
        String endpoint = ended.line().text("endpoint");
        List<Evidence> inputs =
                Stream.concat(
                                CallJudge.attempts(judged.call()),
                                Stream.of(Evidence.of(ended.line(), "endpoint", "status")))
                        .toList();
        String decided = endpoint + " answered with status " + ended.line().text("status");
        return ended.isServed()
                ? Finding.shown(decided, inputs)
                : Finding.shown(
                        decided + ", and the gateway passed that on",
                        inputs,
                        "why " + endpoint + " answered so: no line of an endpoint is read");
    }

    /** The deadline passed while an endpoint had the call. */
    static Finding timedOut(CallCase judged) {
        CallEvent.Ended ended = (CallEvent.Ended) judged.call().last();
        String endpoint = ended.line().text("endpoint");
        long firstEvent = ended.firstEventMilliseconds().orElse(-1);
        String progress =
                firstEvent < 0
                        ? " had not begun to respond"
                        : " had begun to respond after " + firstEvent + " ms and was not done";
        List<Evidence> inputs =
                Stream.concat(
                                CallJudge.attempts(judged.call()),
                                Stream.of(
                                        Evidence.of(
                                                ended.line(),
                                                "endpoint",
                                                "elapsed_milliseconds",
                                                "tokens_ahead",
                                                "endpoints_age_milliseconds")))
                        .toList();
        return Finding.notShown(
                        "the deadline of the call passed after "
                                + ended.line().text("elapsed_milliseconds")
                                + " ms; "
                                + endpoint
                                + progress,
                        inputs,
                        "why " + endpoint + " took so long: no line of an endpoint is read",
                        "the deadline that the caller set")
                .beside(besideEndpoint(judged));
    }

    static Finding attemptsFailed(CallCase judged) {
        List<CallEvent.AttemptFailed> attempts =
                judged.call().eventsOf(CallEvent.AttemptFailed.class);
        CallEvent.Ended ended = (CallEvent.Ended) judged.call().last();
        if (attempts.size() < ended.tried().orElse(0)) {
            return cutOff(judged, ended);
        }
        if (attempts.isEmpty()) {
            return noAttempt(judged, ended);
        }
        CallEvent.AttemptFailed last = attempts.get(attempts.size() - 1);
        String endpoint = last.line().text("endpoint");
        String decided =
                "the attempt at "
                        + endpoint
                        + " ended as "
                        + last.outcome()
                        + " ("
                        + last.cause()
                        + "), and the call was not sent on";
        List<Evidence> inputs =
                Stream.concat(
                                CallJudge.attempts(judged.call()),
                                Stream.of(Evidence.of(ended.line(), "outcome", "sent", "tried")))
                        .toList();
        String notSentOn =
                "why it was not sent on: attempts and repetition that the route allows, the retry"
                        + " budget and the endpoints left to try are not logged";
        List<Evidence> crashes =
                judged.call().eventsOf(CallEvent.WaitedAtCrash.class).stream()
                        .map(crash -> Evidence.of(crash.line(), "endpoint", "waiting_calls"))
                        .toList();
        boolean isUnexplained = last.outcome().equals("BROKEN") && crashes.isEmpty();
        return isUnexplained
                ? Finding.shown(
                                decided,
                                inputs,
                                notSentOn,
                                "what the endpoint sent: the lines name neither the connection nor"
                                        + " the bytes of the response")
                        .beside(strayBytes(judged))
                : Finding.shown(decided, inputs, notSentOn)
                        .from(crashes)
                        .beside(besideEndpoint(judged));
    }

    /** The gateway ended the call while an endpoint had it, and not because of the endpoint. */
    private static Finding cutOff(CallCase judged, CallEvent.Ended ended) {
        String decided =
                "the gateway ended the call while " + ended.line().text("endpoint") + " had it";
        List<Evidence> inputs =
                Stream.concat(
                                Stream.of(Evidence.of(ended.line(), "endpoint", "tried")),
                                GatewayFindings.draining(judged).inputs().stream())
                        .toList();
        return inputs.size() > 1
                ? Finding.shown(decided + ", since it was shutting down", inputs)
                : Finding.notShown(decided, inputs, "no attempt.failed of that attempt");
    }

    private static Finding noAttempt(CallCase judged, CallEvent.Ended ended) {
        List<Evidence> beside = besideEndpoint(judged);
        Evidence end = Evidence.of(ended.line(), "outcome", "tried", "endpoints_age_milliseconds");
        String decided = "no endpoint was left to try";
        return beside.isEmpty()
                ? Finding.notShown(
                        decided,
                        List.of(end),
                        "no line says why the gateway had no endpoint for the call")
                : Finding.shown(decided, List.of(end)).from(beside);
    }

    private static List<Evidence> besideEndpoint(CallCase judged) {
        return CallCase.evidence(
                judged.beliefs(
                        BeliefTopic.ENDPOINT, BeliefTopic.ENDPOINT_WISH, BeliefTopic.WEIGHTS));
    }

    /** What the process received during the call that belonged to no response. */
    private static List<Evidence> strayBytes(CallCase judged) {
        long arrived = judged.call().arrivedMicroseconds().orElse(Long.MAX_VALUE);
        long ended = judged.call().endedMicroseconds().orElse(0) + LATE_LINE_MICROSECONDS;
        return Stream.concat(
                        judged.around(BeliefTopic.STRAY_BYTES)
                                .filter(b -> isBetween(arrived, b.timeMicroseconds(), ended))
                                .map(belief -> Evidence.of(belief.line())),
                        judged.surroundings().notes().stream()
                                .filter(n -> isBetween(arrived, n.timeMicroseconds(), ended))
                                .map(note -> Evidence.of(note.line())))
                .toList();
    }

    private static boolean isBetween(long from, long time, long to) {
        return from <= time && time <= to;
    }
}
