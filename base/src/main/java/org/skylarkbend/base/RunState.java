package org.skylarkbend.base;

/** States whether a refused or failed request may have run at its endpoint. */
public enum RunState {
    /**
     * No byte of the request can have reached the endpoint, or the endpoint reported that it did
     * not run.
     */
    NOT_RUN("not_run"),
    /** The request may have run, partly or completely. */
    MAY_HAVE_RUN("may_have_run");

    private final String mCode;

    RunState(String code) {
        mCode = code;
    }

    /** Returns the code used in responses to callers. */
    public String code() {
        return mCode;
    }
}
