package org.skylarkbend.ctl;

import java.util.Map;

/**
 * A request to control.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers headers other than the credential
 * @param body request body; may be empty
 */
public record ControlRequest(String method, String path, Map<String, String> headers, String body) {
    /** Copies the headers. */
    public ControlRequest {
        headers = Map.copyOf(headers);
    }

    static ControlRequest get(String path) {
        return new ControlRequest("GET", path, Map.of(), "");
    }
}
