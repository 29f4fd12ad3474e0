package org.skylarkbend.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;

/**
 * Request to an endpoint.
 *
 * @param endpoint address of the endpoint
 * @param method method
 * @param uri path and query
 * @param headers headers except those that frame the body, not to be changed afterwards
 * @param body complete body, which may be empty
 */
public record ExchangeRequest(
        SocketAddress endpoint, HttpMethod method, String uri, MultiMap headers, Buffer body) {}
