package org.skylarkbend.forwarding.ledger;

import java.util.Optional;

/**
 * The record of one call in the ledger.
 *
 * @param call the identity of the call
 * @param reservationId the ID of its last reservation
 * @param requestDigest the digest of the request
 * @param outcome the outcome; empty while the call is in flight
 * @param httpStatus the status of the response if the call ran, else 0
 * @param changedEpochMilliseconds the time of the last change of the record
 */
public record CallRecord(
        CallIdentity call,
        String reservationId,
        String requestDigest,
        Optional<CallOutcome> outcome,
        int httpStatus,
        long changedEpochMilliseconds) {
    /** Returns the record with an outcome. */
    CallRecord settled(CallOutcome settledOutcome, int status, long nowEpochMilliseconds) {
        return new CallRecord(
                call,
                reservationId,
                requestDigest,
                Optional.of(settledOutcome),
                status,
                nowEpochMilliseconds);
    }

    /** Returns whether the call certainly did not run. */
    boolean didNotRun() {
        return outcome.map(o -> o == CallOutcome.NOT_RUN).orElse(false);
    }

    /** Returns whether the call certainly ran. */
    boolean ran() {
        return outcome.map(o -> o == CallOutcome.RAN).orElse(false);
    }
}
