package org.skylarkbend.forwarding.ledger;

import java.util.Objects;

/**
 * A message between a router and the ledger, carried in a {@code SliceMessage} named {@link
 * #SLICE}.
 *
 * <p>The router assigns a new reservation identifier to each attempt. Responses carry it, and a
 * request that is resent with the same identifier gets the same response.
 */
public sealed interface LedgerMessage {
    /** The name of the call ledger on the feed. */
    String SLICE = "ledger";

    /** The maximum length of a reservation identifier or request digest in characters. */
    int MAX_ID_CHARACTERS = 128;

    /** Returns the ID of the reservation. */
    String reservationId();

    /** A request from a router to the ledger. */
    sealed interface Request extends LedgerMessage {
        /** Returns the identity of the call. */
        CallIdentity call();
    }

    /**
     * Request from a router to reserve a call before sending it.
     *
     * @param call the identity of the call
     * @param reservationId the ID that the router assigned to this attempt
     * @param requestDigest the digest of method, path and body
     */
    record ReserveCall(CallIdentity call, String reservationId, String requestDigest)
            implements Request {
        /** Rejects missing parts and identifiers that are empty or too long. */
        public ReserveCall {
            Objects.requireNonNull(call);
            checkId(reservationId);
            checkId(requestDigest);
        }
    }

    /**
     * Request from a router to settle a reserved call with its outcome.
     *
     * @param call the identity of the call
     * @param reservationId the ID of its reservation
     * @param outcome the outcome of the call
     * @param httpStatus the status of the response if the call ran, else 0
     */
    record SettleCall(CallIdentity call, String reservationId, CallOutcome outcome, int httpStatus)
            implements Request {
        /** Rejects missing parts and an identifier that is empty or too long. */
        public SettleCall {
            Objects.requireNonNull(call);
            Objects.requireNonNull(outcome);
            checkId(reservationId);
        }
    }

    /**
     * Response to a reservation, sent once the reservation is committed and synced.
     *
     * @param reservationId the ID of the reservation
     * @param verdict the decision of the ledger
     * @param httpStatus the status of the recorded response if the call has run, else 0
     */
    record ReserveResponse(String reservationId, ReserveVerdict verdict, int httpStatus)
            implements LedgerMessage {}

    /**
     * Response to a settlement, sent once the settlement is committed and synced.
     *
     * @param reservationId the ID of the reservation
     * @param known true if the ledger has a record of the reservation
     */
    record SettleResponse(String reservationId, boolean known) implements LedgerMessage {}

    private static void checkId(String id) {
        if (id.isEmpty() || id.length() > MAX_ID_CHARACTERS) {
            throw new IllegalArgumentException(
                    "an identifier must have 1 to " + MAX_ID_CHARACTERS + " characters");
        }
    }
}
