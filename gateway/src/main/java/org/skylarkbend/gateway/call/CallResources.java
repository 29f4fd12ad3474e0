package org.skylarkbend.gateway.call;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.Supplier;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.CacheScopes;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.gateway.HeaderNames;
import org.skylarkbend.gateway.crashes.CrashGuard;
import org.skylarkbend.gateway.endpoints.EndpointProbes;
import org.skylarkbend.gateway.endpoints.EndpointSelector;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.endpoints.PriorAttempts;
import org.skylarkbend.gateway.limits.TokenGate;
import org.skylarkbend.gateway.outcomes.OutcomeRecorder;

/**
 * Resources shared by all calls of a gateway. They are confined to the task that serves the calls.
 *
 * @param vertx sets the timers
 * @param client client with the connections to endpoints
 * @param names names of the HTTP headers
 * @param selector selects an endpoint for each attempt
 * @param gate holds calls until their customer has rate limit tokens
 * @param retries retry budget
 * @param outcomes counts the outcomes of calls by version
 * @param crashes reports crashes of endpoints and knows the quarantined parts of prompts
 * @param probes checks endpoints whose connections broke
 * @param responses memory for responses that callers have not got yet
 * @param cacheScopes returns the scopes of cached prompt parts under the catalog in force
 * @param metrics registry of the call metrics
 * @param clock monotonic clock
 */
public record CallResources(
        Vertx vertx,
        EndpointClient client,
        HeaderNames names,
        EndpointSelector selector,
        TokenGate gate,
        RetryBudget retries,
        OutcomeRecorder outcomes,
        CrashGuard crashes,
        EndpointProbes probes,
        ResponseMemory responses,
        Supplier<CacheScopes> cacheScopes,
        MetricRegistry metrics,
        MillisecondClock clock) {
    /** Selects the endpoint for the next attempt of a call; empty if none is left to try. */
    Optional<EngineChoice> choose(CallRequest call, PriorAttempts prior) {
        long nowMilliseconds = clock.nowMilliseconds();
        String service = call.service();
        return call.prompt().isEmpty()
                ? selector.choose(service, prior, nowMilliseconds)
                : selector.choose(
                        service, call.prompt().get(), cacheScope(call), prior, nowMilliseconds);
    }

    /**
     * Returns the scope within which engines may reuse cached parts of a call's prompt. It follows
     * the catalog in force at the time of the attempt, which may be newer than the admission.
     */
    String cacheScope(CallRequest call) {
        return cacheScopes.get().of(call.customer());
    }

    /**
     * Returns the time after which a call that found no room may return. Callers of services whose
     * endpoints vary in speed return one after the other.
     *
     * @param call the refused call
     * @param shortestMilliseconds time after which it may return at the earliest
     */
    long retryAfterMilliseconds(CallRequest call, long shortestMilliseconds) {
        if (!selector.sharedPools().contains(call.service())) {
            return shortestMilliseconds;
        }
        long nowMilliseconds = clock.nowMilliseconds();
        long elapsedMilliseconds = nowMilliseconds - call.arrivedMilliseconds();
        return selector.sharedPools()
                .returnTimes()
                .afterMilliseconds(
                        shortestMilliseconds,
                        call.route().targetMilliseconds() - elapsedMilliseconds,
                        call.deadlineMilliseconds() - nowMilliseconds);
    }

    /** Records the time from the start of an attempt to its first event, which was estimated. */
    void recordEstimate(EngineChoice choice, long milliseconds) {
        if (choice.firstEventMilliseconds().isPresent()) {
            long errorMilliseconds =
                    Math.abs(milliseconds - choice.firstEventMilliseconds().getAsLong());
            metrics.histogram("gateway_estimate_error_milliseconds").update(errorMilliseconds);
            selector.sharedPools().firstEvent(choice, milliseconds);
        }
    }

    /** Records the time from the arrival of a call to its first event. */
    void recordFirstEvent(long milliseconds) {
        metrics.histogram("gateway_first_event_milliseconds").update(milliseconds);
    }
}
