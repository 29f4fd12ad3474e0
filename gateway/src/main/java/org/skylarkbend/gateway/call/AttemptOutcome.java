package org.skylarkbend.gateway.call;

/** How an attempt ended that brought no proper answer. */
public enum AttemptOutcome {
    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED(false),
    /** The endpoint says that it has not run the call. */
    NOT_RUN(false),
    /** The endpoint ran the call and failed. */
    FAILED(true),
    /** The connection ended, or what came was no whole answer to the call. */
    BROKEN(true),
    /** Nothing came for too long. */
    SILENT(true);

    private final boolean mMayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Whether the endpoint may have run the call. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
