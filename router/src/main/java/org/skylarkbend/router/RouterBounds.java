package org.skylarkbend.router;

/**
 * Size limits, timeouts and intervals of a router.
 *
 * @param callers the bounds of callers' requests and connections
 * @param maxResponseBytes the maximum size of a buffered response and of a stream event
 * @param connectTimeoutMilliseconds the timeout for connecting to an endpoint
 * @param silenceMilliseconds the time without data after which a connection to an endpoint is
 *     considered stalled
 * @param serviceTimeoutMilliseconds the response timeout of plain services
 * @param responseTimeoutMilliseconds the timeout for the complete response of an engine
 * @param slotsPerEndpoint the number of concurrent calls of this router per live endpoint, summed
 *     over the pool
 * @param maxWaitingPerPriority the maximum number of queued calls per pool and priority
 * @param maxWaitingPerCustomer the maximum number of those per customer
 * @param watchMilliseconds the polling interval for endpoints and the platform's list of VMs
 * @param drainNoticeMilliseconds the time for which a draining router still accepts calls while it
 *     reports itself as unready, so that the load balancer can notice
 */
public record RouterBounds(
        CallerBounds callers,
        int maxResponseBytes,
        long connectTimeoutMilliseconds,
        long silenceMilliseconds,
        long serviceTimeoutMilliseconds,
        long responseTimeoutMilliseconds,
        int slotsPerEndpoint,
        int maxWaitingPerPriority,
        int maxWaitingPerCustomer,
        long watchMilliseconds,
        long drainNoticeMilliseconds) {
    /**
     * Bounds of callers' requests and connections.
     *
     * @param maxBodyBytes the maximum size of a request body
     * @param maxHeaderBytes the maximum size of the request headers
     * @param requestReadMilliseconds the timeout for reading a request
     * @param idleConnectionMilliseconds the idle timeout of a connection
     * @param maxConnections the number of connections beyond which idle ones are closed
     */
    public record CallerBounds(
            int maxBodyBytes,
            int maxHeaderBytes,
            long requestReadMilliseconds,
            long idleConnectionMilliseconds,
            int maxConnections) {}
}
