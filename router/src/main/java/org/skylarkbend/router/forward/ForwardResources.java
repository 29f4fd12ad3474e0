package org.skylarkbend.router.forward;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapPropagator;
import java.util.function.Consumer;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.forwarding.AttemptId;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.router.RouterBounds;

/**
 * Resources shared by all calls of the forwarding task.
 *
 * @param pooledClient client that keeps its connections
 * @param newConnectionClient client that opens a new connection for each request
 * @param endpointCredential the bearer token that authenticates the router to endpoints
 * @param bounds the limits of the router
 * @param clock the monotonic clock
 * @param responseMemory memory for responses until they are complete
 * @param responses receives the responses for callers
 * @param tracer creates spans
 * @param propagator injects the trace context into request headers
 * @param metrics the metrics of forwarding
 */
record ForwardResources(
        EndpointClient pooledClient,
        EndpointClient newConnectionClient,
        String endpointCredential,
        RouterBounds bounds,
        MillisecondClock clock,
        ByteBudget responseMemory,
        Consumer<ResponseMessage> responses,
        Tracer tracer,
        TextMapPropagator propagator,
        ForwardMetrics metrics) {
    /** Starts the span of an attempt within the trace of its call. */
    Span startAttemptSpan(Context trace, AttemptId attempt, Endpoint endpoint) {
        return tracer.spanBuilder("attempt")
                .setParent(trace)
                .setAttribute("attempt", attempt.value())
                .setAttribute("endpoint", endpoint.name().value())
                .startSpan();
    }
}
