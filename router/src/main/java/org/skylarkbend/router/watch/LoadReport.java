package org.skylarkbend.router.watch;

import java.util.List;

/**
 * A load report that was received from an engine.
 *
 * @param incarnation changes when the engine restarts
 * @param running the number of running calls
 * @param queued the number of queued calls
 * @param queuedPromptTokens the prompt tokens of the queued calls
 * @param cachedBlocks the number of blocks in its prefix cache
 * @param versions the loaded versions
 * @param leaving true if the engine is shutting down
 * @param asOfMilliseconds the time of the request for the report, on the monotonic clock
 */
public record LoadReport(
        long incarnation,
        long running,
        long queued,
        long queuedPromptTokens,
        long cachedBlocks,
        List<String> versions,
        boolean leaving,
        long asOfMilliseconds) {
    /** Copies the list. */
    public LoadReport {
        versions = List.copyOf(versions);
    }
}
