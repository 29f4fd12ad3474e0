package org.skylarkbend.forwarding.ledger;

import java.util.Optional;
import org.skylarkbend.base.ErrorKind;

/** The decision of the ledger about a reservation. */
public enum ReserveVerdict {
    /** The call is reserved and may be sent once. */
    RESERVED(null),
    /** Another attempt holds the reservation, or the outcome of the call is unknown. */
    IN_DOUBT(ErrorKind.CALL_IN_DOUBT),
    /** The call has already run. */
    ALREADY_RAN(ErrorKind.CALL_ALREADY_RAN),
    /** The idempotency key was used with a different request. */
    OTHER_REQUEST(ErrorKind.BAD_REQUEST),
    /** The ledger has reached its maximum number of records. */
    LEDGER_FULL(ErrorKind.OVERLOADED);

    private final ErrorKind mErrorKind;

    ReserveVerdict(ErrorKind errorKind) {
        mErrorKind = errorKind;
    }

    /** Returns the error for the caller, or empty if the call may be sent. */
    public Optional<ErrorKind> errorKind() {
        return Optional.ofNullable(mErrorKind);
    }
}
