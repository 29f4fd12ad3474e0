package org.skylarkbend.exchange;

import io.vertx.core.MultiMap;

/**
 * Status and headers of a response.
 *
 * @param status status code
 * @param headers headers, not to be changed
 */
public record ResponseStart(int status, MultiMap headers) {
    /** Returns the first value of a header, or null if there is none. */
    public String header(String name) {
        return headers.get(name);
    }
}
