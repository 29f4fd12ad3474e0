/**
 * Exchanges of a request and its response with endpoints, over connections that are kept.
 *
 * <p>A connection serves one exchange at a time. Each byte that it receives belongs to the response
 * of that exchange or ends the connection, so nothing that an endpoint sends too early, too late or
 * twice can become part of another response.
 */
package org.skylarkbend.exchange;
