package org.skylarkbend.forwarding.ledger;

/** The outcome of a reserved call. */
public enum CallOutcome {
    /** The endpoint responded, so the call has run. */
    RAN,
    /** The call certainly did not run, so it may be reserved again. */
    NOT_RUN,
    /** It is unknown whether the call has run. */
    IN_DOUBT
}
