package org.skylarkbend.ctl;

import org.skylarkbend.base.Result;

/** Sends a request to control and waits for the response. Tests use a fake implementation. */
@FunctionalInterface
public interface ControlTransport {
    /**
     * Sends a request.
     *
     * @return the response of the leader, including HTTP errors; a failure if there was no response
     */
    Result<ControlResponse> send(ControlRequest request);
}
