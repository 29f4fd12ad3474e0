package org.skylarkbend.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.util.function.Predicate;

/**
 * Request to an endpoint.
 *
 * @param endpoint address of the endpoint
 * @param method method
 * @param uri path and query
 * @param headers headers except those that frame the body, not to be changed afterwards
 * @param body complete body, which may be empty, not to be changed afterwards
 * @param isOtherResponse returns whether a response is known to answer another request; it is then
 *     skipped
 */
public record ExchangeRequest(
        SocketAddress endpoint,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Buffer body,
        Predicate<ResponseStart> isOtherResponse) {
    /** Creates a request whose responses do not say which request they answer. */
    public ExchangeRequest(
            SocketAddress endpoint, HttpMethod method, String uri, MultiMap headers, Buffer body) {
        this(endpoint, method, uri, headers, body, start -> false);
    }
}
