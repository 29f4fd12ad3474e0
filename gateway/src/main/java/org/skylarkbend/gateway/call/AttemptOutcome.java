package org.skylarkbend.gateway.call;

/** Reason for which an attempt ended without a usable response. */
public enum AttemptOutcome {
    /** No connection was established, so nothing was sent. */
    NOT_CONNECTED(false),
    /**
     * The call was not sent: the endpoint stopped accepting calls before, or the request could not
     * be encoded.
     */
    WITHDRAWN(false),
    /** The endpoint reported that it did not run the call. */
    NOT_RUN(false),
    /** The endpoint ran the call and returned a server error. */
    FAILED(true),
    /** The connection was lost, or the response was incomplete or belonged to another call. */
    BROKEN(true),
    /** The endpoint sent nothing for too long. */
    SILENT(true);

    private final boolean mMayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether the call was sent to the endpoint. */
    public boolean isSent() {
        return this != NOT_CONNECTED && this != WITHDRAWN;
    }

    /** Returns whether the endpoint may have run the call. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
