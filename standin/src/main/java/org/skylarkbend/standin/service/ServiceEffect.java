package org.skylarkbend.standin.service;

/** An action that a service takes in response to a call. */
public sealed interface ServiceEffect {
    /**
     * Respond that the call ran.
     *
     * @param call the call
     * @param run the number of times the call has run, including this one
     * @param delayMilliseconds the time to wait before the response
     */
    record RespondRan(ServiceCall call, long run, long delayMilliseconds)
            implements ServiceEffect {}

    /** Respond that the call did not run. */
    record RespondNotRun() implements ServiceEffect {}

    /** Close the connection without a response. */
    record CloseConnection() implements ServiceEffect {}

    /** Send no response and leave the connection open. */
    record SendNoResponse() implements ServiceEffect {}
}
