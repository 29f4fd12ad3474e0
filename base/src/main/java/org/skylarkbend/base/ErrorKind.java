package org.skylarkbend.base;

/**
 * All kinds of errors, with the response that each one produces.
 *
 * <p>Each kind defines its HTTP status, whether the request may have run, and whether the same
 * request may be retried later. {@code docs/ERRORS.md} must list the same values.
 */
public enum ErrorKind {
    /** The request is malformed or exceeds a structural limit. */
    BAD_REQUEST(400, RunState.NOT_RUN, false),
    /** The request did not arrive completely in time. */
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, true),
    /** The body exceeds the configured maximum size. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, false),
    /** The headers exceed the configured maximum size. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, false),
    /**
     * The request has no key although its route requires one, or its key is unknown or withdrawn.
     */
    KEY_REFUSED(401, RunState.NOT_RUN, false),
    /** The caller's key was withdrawn while an engine was sending its response. */
    KEY_WITHDRAWN(401, RunState.MAY_HAVE_RUN, false),
    /** The key is valid, but its customer is not allowed to use this route. */
    ROUTE_FORBIDDEN(403, RunState.NOT_RUN, false),
    /** No route has this name or path. */
    ROUTE_UNKNOWN(404, RunState.NOT_RUN, false),
    /** The customer exceeded its rate limit, including the burst. */
    RATE_EXCEEDED(429, RunState.NOT_RUN, true),
    /** The customer exceeded its grant for the month. */
    GRANT_EXCEEDED(402, RunState.NOT_RUN, false),
    /** The queue of the route is full, or the request would miss its deadline. */
    OVERLOADED(503, RunState.NOT_RUN, true),
    /** A part of the prompt crashes engines and is excluded from service for a while. */
    PROMPT_QUARANTINED(503, RunState.NOT_RUN, true),
    /** No live endpoint serves the route. */
    NO_ENDPOINT(503, RunState.NOT_RUN, true),
    /** This router must not serve routes that need a key: it lost contact with the quorum. */
    ROUTER_STALE(503, RunState.NOT_RUN, true),
    /** This router is shutting down and accepts no new requests. */
    ROUTER_DRAINING(503, RunState.NOT_RUN, true),
    /** The endpoint refused the request before it ran. */
    ENDPOINT_REFUSED(502, RunState.NOT_RUN, true),
    /** The endpoint failed after the request was sent. */
    ENDPOINT_FAILED(502, RunState.MAY_HAVE_RUN, false),
    /** The endpoint sent no response in time. */
    ENDPOINT_TIMEOUT(504, RunState.MAY_HAVE_RUN, false),
    /** The stream broke and could not be resumed. */
    STREAM_BROKEN(502, RunState.MAY_HAVE_RUN, false),
    /** A call with this idempotency key is running or has an unknown outcome. */
    CALL_IN_DOUBT(409, RunState.MAY_HAVE_RUN, false),
    /** A call with this idempotency key has already run. */
    CALL_ALREADY_RAN(409, RunState.MAY_HAVE_RUN, false),
    /** A set, or the settings of a process, failed validation. */
    SET_INVALID(422, RunState.NOT_RUN, false),
    /** Another set was accepted on the same base revision. */
    REVISION_CONFLICT(409, RunState.NOT_RUN, false),
    /** The operator's credential is missing or wrong. */
    OPERATOR_REFUSED(401, RunState.NOT_RUN, false),
    /** This control VM is not the leader and knows no leader. */
    NO_LEADER(503, RunState.NOT_RUN, true),
    /** The change was proposed to the log, but it is unknown whether it was committed. */
    COMMIT_UNKNOWN(504, RunState.MAY_HAVE_RUN, true),
    /**
     * A frame or message between the system's processes is malformed, too large or of unknown type.
     */
    FRAME_INVALID(400, RunState.NOT_RUN, false),
    /** The disk is full or corrupted, or cannot be synced. */
    STORAGE_FAILED(500, RunState.NOT_RUN, true),
    /** A connection to another process failed. */
    CONNECTION_FAILED(502, RunState.NOT_RUN, true),
    /** An internal error of this program. */
    INTERNAL(500, RunState.MAY_HAVE_RUN, false),
    /** An internal error of this program before any byte of the request can have been sent on. */
    INTERNAL_NOT_RUN(503, RunState.NOT_RUN, true);

    private final int mHttpStatus;
    private final RunState mRunState;
    private final boolean mRetryable;

    ErrorKind(int httpStatus, RunState runState, boolean retryable) {
        mHttpStatus = httpStatus;
        mRunState = runState;
        mRetryable = retryable;
    }

    /**
     * Returns the kind to report for a request.
     *
     * @param mayHaveRun whether the request may have run, whatever this kind states
     * @return {@link #ENDPOINT_FAILED} if this kind states that a request has not run that may have
     *     run, otherwise this kind
     */
    public ErrorKind unlessItMayHaveRun(boolean mayHaveRun) {
        return mayHaveRun && mRunState == RunState.NOT_RUN ? ENDPOINT_FAILED : this;
    }

    /** Returns the code used in responses, logs and metrics. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Returns the HTTP status of the response. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns whether the request may have run. */
    public RunState runState() {
        return mRunState;
    }

    /** Returns whether the same request may be retried later. */
    public boolean retryable() {
        return mRetryable;
    }
}
