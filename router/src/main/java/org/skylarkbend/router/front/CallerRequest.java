package org.skylarkbend.router.front;

import io.opentelemetry.context.Context;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.router.HttpHeader;

/**
 * A complete request of a caller, as received.
 *
 * @param method the HTTP method
 * @param path the path, without the query
 * @param query the query without the question mark, or empty if there is none
 * @param headers all headers
 * @param body the body, which must not be modified
 * @param trace the trace context of the call
 */
record CallerRequest(
        String method,
        String path,
        String query,
        List<HttpHeader> headers,
        byte[] body,
        Context trace) {
    CallerRequest {
        headers = List.copyOf(headers);
    }

    Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
