package org.skylarkbend.exchange;

import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;

/**
 * Status and headers of a response.
 *
 * @param status status code
 * @param headers headers, not to be changed
 */
public record ResponseStart(int status, MultiMap headers) {
    static ResponseStart of(HttpResponse response) {
        MultiMap headers = HttpHeaders.headers();
        response.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        return new ResponseStart(response.status().code(), headers);
    }

    /** Returns the first value of a header, or null if there is none. */
    public String header(String name) {
        return headers.get(name);
    }
}
