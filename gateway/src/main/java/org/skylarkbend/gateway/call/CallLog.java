package org.skylarkbend.gateway.call;

import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.endpoints.EngineChoice;

/** Writes the lines by which the way of one call can be found again. */
final class CallLog {
    private static final StructuredLog LOG = StructuredLog.of(GatewayCall.class);
    private static final String NONE = "-";

    private final CallRequest mCall;

    CallLog(CallRequest call) {
        mCall = call;
    }

    /**
     * An attempt came to nothing.
     *
     * @param endpoint where it was made
     * @param outcome how it ended
     * @param cause what was seen
     * @param sent to how many endpoints the call was sent
     * @param nowMilliseconds the time
     */
    void attemptFailed(
            Endpoint endpoint,
            AttemptOutcome outcome,
            String cause,
            int sent,
            long nowMilliseconds) {
        LOG.info(
                "attempt.failed",
                "id",
                mCall.id(),
                "endpoint",
                endpoint.incarnation(),
                "outcome",
                outcome,
                "cause",
                cause,
                "sent",
                sent,
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    /** How a call ended, and what decided it. */
    record End(
            String outcome,
            int status,
            int sent,
            int tried,
            Optional<EngineChoice> last,
            long endpointsAgeMilliseconds) {}

    /** The call is over. */
    void ended(End end, long nowMilliseconds) {
        LOG.info(
                "call.ended",
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
                "outcome",
                end.outcome(),
                "status",
                end.status(),
                "sent",
                end.sent(),
                "tried",
                end.tried(),
                "endpoint",
                end.last().map(last -> last.endpoint().incarnation()).orElse(NONE),
                "weights",
                end.last().map(EngineChoice::weights).map(CallLog::shown).orElse(NONE),
                "cache_source",
                end.last().flatMap(EngineChoice::cacheSource).orElse(NONE),
                "endpoints_age_milliseconds",
                end.endpointsAgeMilliseconds(),
                "elapsed_milliseconds",
                nowMilliseconds - mCall.arrivedMilliseconds());
    }

    private static String shown(OptionalLong version) {
        return version.isPresent() ? Long.toString(version.getAsLong()) : NONE;
    }
}
