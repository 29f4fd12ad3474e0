package org.skylarkbend.router.forward;

import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapPropagator;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.forwarding.AttemptId;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.HttpHeader;

/** Builds the requests to endpoints. None of them contains the caller's key. */
final class EndpointRequests {
    private static final byte[] NO_BODY = new byte[0];
    private static final String STREAM_PATH = "/v1/streams/";

    private final String mCredential;
    private final TextMapPropagator mPropagator;

    EndpointRequests(String credential, TextMapPropagator propagator) {
        mCredential = credential;
        mPropagator = propagator;
    }

    EndpointRequest ofCall(
            Call call, AttemptId attempt, Endpoint endpoint, String cacheScope, Context trace) {
        List<HttpHeader> headers = common(attempt, trace);
        headers.add(new HttpHeader("X-Skylark-Cache-Scope", cacheScope));
        headers.add(priority(call));
        headers.addAll(call.headers());
        return new EndpointRequest(
                attempt, endpoint, call.method(), call.uri(), headers, call.body());
    }

    EndpointRequest ofResume(
            Call call, AttemptId attempt, Endpoint endpoint, long afterPosition, Context trace) {
        String uri = STREAM_PATH + attempt.value() + "?after=" + afterPosition;
        List<HttpHeader> headers = common(attempt, trace);
        headers.add(priority(call));
        return new EndpointRequest(attempt, endpoint, "GET", uri, headers, NO_BODY);
    }

    EndpointRequest ofCancel(AttemptId attempt, Endpoint endpoint, Context trace) {
        String uri = STREAM_PATH + attempt.value();
        return new EndpointRequest(
                attempt, endpoint, "DELETE", uri, common(attempt, trace), NO_BODY);
    }

    private List<HttpHeader> common(AttemptId attempt, Context trace) {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(new HttpHeader("Authorization", "Bearer " + mCredential));
        headers.add(new HttpHeader("X-Skylark-Attempt", attempt.value()));
        mPropagator.inject(
                trace, headers, (list, name, value) -> list.add(new HttpHeader(name, value)));
        return headers;
    }

    private static HttpHeader priority(Call call) {
        int priority = call.grant().route().priority();
        return new HttpHeader("X-Skylark-Priority", String.valueOf(priority));
    }
}
