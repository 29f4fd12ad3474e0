package org.skylarkbend.gateway.call;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.endpoints.Prompt;
import org.skylarkbend.quarantine.PromptPart;

/** Writes the log entries from which the attempts and the outcome of a call can be traced. */
final class CallLog {
    private static final StructuredLog LOG = StructuredLog.of(GatewayCall.class);
    private static final String NONE = "-";

    private final CallRequest mCall;
    private final CallFingerprint mFingerprint;

    CallLog(CallRequest call, CallFingerprint fingerprint) {
        mCall = call;
        mFingerprint = fingerprint;
    }

    /**
     * Logs a failed attempt.
     *
     * @param endpoint endpoint of the attempt
     * @param outcome outcome of the attempt
     * @param cause description of the failure
     * @param isWaiting true if the endpoint had not begun to respond
     * @param sent number of endpoints to which the call was sent
     * @param nowMilliseconds current time
     */
    void attemptFailed(
            Endpoint endpoint,
            AttemptOutcome outcome,
            String cause,
            boolean isWaiting,
            int sent,
            long nowMilliseconds) {
        LOG.info(
                "attempt.failed",
                "id",
                mCall.id(),
                "endpoint",
                endpoint.incarnation(),
                "address",
                endpoint.host() + ":" + endpoint.port(),
                "outcome",
                outcome,
                "cause",
                cause,
                "waiting",
                isWaiting,
                "parts",
                partIds(),
                "sent",
                sent,
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    /**
     * Logs that a status is kept from the caller, who would place a call again that may have run.
     */
    void withheld(Endpoint endpoint, int status, long nowMilliseconds) {
        LOG.warn(
                "response.withheld",
                "id",
                mCall.id(),
                "endpoint",
                endpoint.incarnation(),
                "status",
                status,
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    /**
     * Logs that the call is refused because of the parts of its prompt.
     *
     * @param waited true if it is taken back from an endpoint at which it waited
     * @param remainingMilliseconds time until the quarantine is expected to end
     */
    void quarantined(boolean waited, long remainingMilliseconds) {
        LOG.info(
                "call.quarantined",
                "id",
                mCall.id(),
                "parts",
                partIds(),
                "waited",
                waited,
                "remaining_milliseconds",
                remainingMilliseconds);
    }

    /** Logs that a silent endpoint is kept because no other one can be secured. */
    void kept(Endpoint endpoint, String reason, long nowMilliseconds) {
        LOG.info(
                "handover.kept",
                "id",
                mCall.id(),
                "endpoint",
                endpoint.incarnation(),
                "reason",
                reason,
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    /** Logs that another endpoint is asked while a silent one may still go on. */
    void successorStarted(Endpoint from, Endpoint to, long nowMilliseconds) {
        LOG.info(
                "handover.started",
                "id",
                mCall.id(),
                "from",
                from.incarnation(),
                "to",
                to.incarnation(),
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    /** Logs that a successor has a connection and a retry of the budget, and is sent the call. */
    void successorSent(Endpoint to, long nowMilliseconds) {
        LOG.info(
                "handover.sent",
                "id",
                mCall.id(),
                "to",
                to.incarnation(),
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    /**
     * Logs that one of two endpoints goes on and the other one was stopped.
     *
     * @param by endpoint that goes on
     * @param stopped endpoint that was stopped
     * @param wasSent true if the call was sent to the one that was stopped
     * @param reason what decided it
     * @param nowMilliseconds current time
     */
    void handedOver(
            Endpoint by, Endpoint stopped, boolean wasSent, String reason, long nowMilliseconds) {
        LOG.info(
                "handover.decided",
                "id",
                mCall.id(),
                "by",
                by.incarnation(),
                "stopped",
                stopped.incarnation(),
                "was_sent",
                wasSent,
                "reason",
                reason,
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    private String partIds() {
        return String.join(",", mFingerprint.parts().stream().map(PromptPart::id).toList());
    }

    /** Outcome of a call with the values that led to it. */
    record End(
            String outcome,
            int status,
            int sent,
            int tried,
            Optional<EngineChoice> last,
            StreamTiming timing,
            long endpointsAgeMilliseconds) {}

    /** Logs the end of the call. */
    void ended(End end, long nowMilliseconds) {
        LOG.info(
                "call.ended",
                Stream.of(callFields(), endFields(end, nowMilliseconds), choiceFields(end.last()))
                        .flatMap(Stream::of)
                        .toArray());
    }

    private Object[] callFields() {
        return new Object[] {
            "id",
            mCall.id(),
            "route",
            mCall.route().name(),
            "service",
            mCall.service(),
            "customer",
            mCall.customer().map(Customer::name).orElse(NONE),
            "catalog",
            mCall.catalogNumber(),
            "prompt_tokens",
            mCall.prompt().map(Prompt::promptTokens).orElse(0L),
            "shared_tokens",
            mCall.prompt().map(Prompt::sharedTokens).orElse(0L)
        };
    }

    private Object[] endFields(End end, long nowMilliseconds) {
        return new Object[] {
            "outcome",
            end.outcome(),
            "status",
            end.status(),
            "sent",
            end.sent(),
            "tried",
            end.tried(),
            "endpoints_age_milliseconds",
            end.endpointsAgeMilliseconds(),
            "first_event_milliseconds",
            end.timing().firstEventMilliseconds(),
            "longest_gap_milliseconds",
            end.timing().longestGapMilliseconds(),
            "elapsed_milliseconds",
            nowMilliseconds - mCall.arrivedMilliseconds()
        };
    }

    /** Returns what the last attempt was decided by. */
    private Object[] choiceFields(Optional<EngineChoice> last) {
        return new Object[] {
            "endpoint",
            last.map(choice -> choice.endpoint().incarnation()).orElse(NONE),
            "weights",
            last.map(EngineChoice::weights).map(CallLog::format).orElse(NONE),
            "cache_source",
            last.flatMap(EngineChoice::cacheSource).orElse(NONE),
            "tokens_ahead",
            last.map(EngineChoice::tokensAhead).orElse(0L),
            "calls_ahead",
            last.map(EngineChoice::callsAhead).orElse(0L),
            "home",
            last.map(EngineChoice::isHome).orElse(false),
            "urgency",
            last.map(choice -> Urgency.of(mCall, choice).header()).orElse(NONE),
            "expected_first_event_milliseconds",
            last.map(EngineChoice::firstEventMilliseconds).map(CallLog::format).orElse(NONE)
        };
    }

    private static String format(OptionalLong number) {
        return number.isPresent() ? Long.toString(number.getAsLong()) : NONE;
    }
}
