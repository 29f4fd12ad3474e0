package org.skylarkbend.exchange;

/**
 * Bounds of the connections to endpoints.
 *
 * @param maxConnectionsPerEndpoint maximum number of connections to one address
 * @param connectTimeoutMilliseconds maximum time until there is a connection for a request
 * @param keepAliveMilliseconds time for which an unused connection is kept, unless the endpoint
 *     names another; 0 to use each connection once
 * @param maxHeadBytes maximum size of the head of a response
 */
public record ExchangeOptions(
        int maxConnectionsPerEndpoint,
        long connectTimeoutMilliseconds,
        long keepAliveMilliseconds,
        int maxHeadBytes) {}
