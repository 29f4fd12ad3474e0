package org.skylarkbend.standin.service;

/**
 * The active faults of a service.
 *
 * @param refuse calls are rejected before they run, and the response says so
 * @param closeBeforeRun the connection is closed before the call runs
 * @param closeAfterRun the connection is closed after the call ran, without a response
 * @param hangAfterRun the call runs and never gets a response
 * @param retryAfterSeconds the time named by refusals, for which no calls are wanted; 0 names none
 * @param leaving the load report and all responses say that the endpoint is about to stop
 * @param delayMilliseconds the delay before each response
 */
public record ServiceFaults(
        boolean refuse,
        long retryAfterSeconds,
        boolean closeBeforeRun,
        boolean closeAfterRun,
        boolean hangAfterRun,
        boolean leaving,
        long delayMilliseconds) {
    /** Returns a value with all faults off. */
    public static ServiceFaults none() {
        return new ServiceFaults(false, 0, false, false, false, false, 0);
    }
}
