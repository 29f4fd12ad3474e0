package org.skylarkbend.gateway.call;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.gateway.HeaderNames;
import org.skylarkbend.gateway.endpoints.EndpointBoard;
import org.skylarkbend.gateway.limits.TokenGate;

/**
 * What all calls of a gateway share. All of it belongs to the task that serves the calls.
 *
 * @param vertx sets timers
 * @param client holds the connections to endpoints
 * @param names the names of headers
 * @param board chooses endpoints
 * @param gate holds calls until their customer has tokens
 * @param retries how many calls may be sent again
 * @param metrics where calls are counted
 * @param clock a clock that never steps back
 */
public record CallResources(
        Vertx vertx,
        HttpClient client,
        HeaderNames names,
        EndpointBoard board,
        TokenGate gate,
        RetryAllowance retries,
        MetricRegistry metrics,
        MillisecondClock clock) {}
