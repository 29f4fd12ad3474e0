package org.skylarkbend.router.forward;

import java.util.List;
import org.skylarkbend.forwarding.AttemptId;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.router.HttpHeader;

/**
 * An HTTP request to an endpoint.
 *
 * @param attempt the attempt that the request belongs to
 * @param endpoint the target endpoint
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers all headers except host and content length
 * @param body the body, which must not be modified
 */
record EndpointRequest(
        AttemptId attempt,
        Endpoint endpoint,
        String method,
        String uri,
        List<HttpHeader> headers,
        byte[] body) {
    EndpointRequest {
        headers = List.copyOf(headers);
    }
}
