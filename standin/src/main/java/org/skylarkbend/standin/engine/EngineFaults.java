package org.skylarkbend.standin.engine;

/**
 * The active faults of an engine.
 *
 * @param crashed every response is empty and its connection is closed; the crash clears the cache
 *     and all streams
 * @param hang requests are accepted and never get a response
 * @param leaving the load report and all responses say that the endpoint is about to stop
 * @param crossedAttempts responses carry the attempt ID of another request
 * @param slowFactor the factor by which every response takes longer
 * @param eventGapEvery one cache event in this many is lost; 0 loses none
 * @param dropAfterTokens the connection of a response is closed after this many tokens; 0 closes
 *     none
 * @param failVersion the version whose requests fail; empty for every version
 * @param failShare the fraction of the requests that fail
 */
public record EngineFaults(
        boolean crashed,
        boolean hang,
        boolean leaving,
        boolean crossedAttempts,
        double slowFactor,
        int eventGapEvery,
        int dropAfterTokens,
        String failVersion,
        double failShare) {
    /** Returns a value with all faults off. */
    public static EngineFaults none() {
        return new EngineFaults(false, false, false, false, 1, 0, 0, "", 0);
    }
}
