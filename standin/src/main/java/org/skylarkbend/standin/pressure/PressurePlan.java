package org.skylarkbend.standin.pressure;

import java.util.Map;

/**
 * The settings of a run.
 *
 * @param url where requests are sent
 * @param headers headers of each request
 * @param idHeader name of a header that gets a new value with each request; empty for none
 * @param smallCallers callers that send small requests one after the other
 * @param longCallers callers that send long requests one after the other
 * @param longBytes size of the body of a long request
 * @param slowReaders callers that read a byte of their response now and then
 * @param idleConnections connections that send nothing
 * @param seconds duration of the run
 */
public record PressurePlan(
        String url,
        Map<String, String> headers,
        String idHeader,
        int smallCallers,
        int longCallers,
        int longBytes,
        int slowReaders,
        int idleConnections,
        int seconds) {
    /** Creates the plan with a copy of {@code headers}. */
    public PressurePlan {
        headers = Map.copyOf(headers);
    }
}
