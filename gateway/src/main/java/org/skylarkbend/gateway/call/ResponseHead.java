package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import java.util.List;
import org.skylarkbend.base.RunState;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.gateway.HeaderNames;

/**
 * Status and headers of an endpoint's response to a call.
 *
 * @param response the response
 * @param call the call
 * @param names names of the HTTP headers
 */
record ResponseHead(ResponseStart response, CallRequest call, HeaderNames names) {
    private static final int OK = 200;
    private static final int MIN_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    int status() {
        return response.status();
    }

    MultiMap headers() {
        return response.headers();
    }

    boolean isError() {
        return status() >= MIN_ERROR_STATUS;
    }

    boolean isServerError() {
        return status() >= MIN_SERVER_ERROR_STATUS;
    }

    /**
     * Returns whether the response is to this call. A response without ID may be an earlier one
     * that the endpoint sent again; even its statement that the call did not run cannot be trusted.
     */
    boolean isForThisCall() {
        List<String> ids = headers().getAll(names.requestId());
        return call.id().isEmpty() ? ids.isEmpty() && isError() : ids.equals(List.of(call.id()));
    }

    /**
     * Returns whether a response names another call, so that the one to this call may follow it.
     */
    static boolean isOfOtherCall(ResponseStart response, CallRequest call, HeaderNames names) {
        List<String> ids = response.headers().getAll(names.requestId());
        return !ids.isEmpty() && !call.id().isEmpty() && !ids.contains(call.id());
    }

    /** Returns whether the endpoint has signed the response. */
    boolean isSealed() {
        return response.header(names.seal()) != null;
    }

    /** Returns whether the endpoint states that it did not run the call. */
    boolean statesNotRun() {
        return isError() && response.header(names.notRun()) != null;
    }

    /**
     * Returns whether callers conclude from the status that the call has not run, although the
     * endpoint did not state it.
     */
    boolean impliesNotRunUnstated() {
        return RunState.impliesNotRun(status()) && !statesNotRun();
    }

    /** Returns whether the body is a stream of events. */
    boolean isStream() {
        return call.isStream() && !isError();
    }

    /** Returns whether the body goes on with a stream that another endpoint began. */
    boolean resumesStream() {
        return status() == OK;
    }
}
