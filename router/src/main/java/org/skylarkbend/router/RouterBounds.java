package org.skylarkbend.router;

/**
 * Size limits, timeouts and intervals of a router.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param maxHeaderBytes the maximum size of the request headers
 * @param requestReadMilliseconds the timeout for reading a request
 * @param idleConnectionMilliseconds the idle timeout of callers' connections
 * @param maxAnswerBytes the maximum size of a buffered response and of a stream event
 * @param connectTimeoutMilliseconds the timeout for connecting to an endpoint
 * @param silenceMilliseconds the time without data after which a connection to an endpoint is
 *     considered stalled
 * @param serviceTimeoutMilliseconds the response timeout of plain services
 * @param answerTimeoutMilliseconds the timeout for the complete response of an engine
 * @param slotsPerEndpoint the maximum number of this router's running calls per endpoint
 * @param maxWaitingPerPriority the maximum number of queued calls per pool and priority
 * @param maxWaitingPerCustomer the maximum number of those per customer
 * @param watchMilliseconds the polling interval for endpoints and the platform's list of VMs
 * @param drainNoticeMilliseconds the time for which a draining router still accepts calls while it
 *     reports itself as unready, so that the load balancer can notice
 */
public record RouterBounds(
        int maxBodyBytes,
        int maxHeaderBytes,
        long requestReadMilliseconds,
        long idleConnectionMilliseconds,
        int maxAnswerBytes,
        long connectTimeoutMilliseconds,
        long silenceMilliseconds,
        long serviceTimeoutMilliseconds,
        long answerTimeoutMilliseconds,
        int slotsPerEndpoint,
        int maxWaitingPerPriority,
        int maxWaitingPerCustomer,
        long watchMilliseconds,
        long drainNoticeMilliseconds) {}
