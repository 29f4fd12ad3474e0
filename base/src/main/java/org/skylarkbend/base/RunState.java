package org.skylarkbend.base;

import java.util.Set;

/** States whether a refused or failed request may have run at its endpoint. */
public enum RunState {
    /**
     * No byte of the request can have reached the endpoint, or the endpoint reported that it did
     * not run.
     */
    NOT_RUN("not_run"),
    /** The request may have run, partly or completely. */
    MAY_HAVE_RUN("may_have_run");

    /**
     * The statuses by which callers conclude that a request has not run and never will: 408 and 421
     * (RFC 9110), 429 (RFC 6585), 503. A caller may place such a request again.
     */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final String mCode;

    RunState(String code) {
        mCode = code;
    }

    /** Returns whether callers conclude from an HTTP status that the request has not run. */
    public static boolean impliesNotRun(int httpStatus) {
        return NOT_RUN_STATUSES.contains(httpStatus);
    }

    /** Returns the code used in responses to callers. */
    public String code() {
        return mCode;
    }
}
