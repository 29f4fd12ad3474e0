package org.skylarkbend.standin.engine;

import java.util.List;

/**
 * The load report of a fake engine.
 *
 * @param incarnation the incarnation of the engine
 * @param running the number of responses in the batch
 * @param queued the number of waiting requests
 * @param queuedPromptTokens the total prompt tokens of the waiting requests
 * @param cachedBlocks the number of blocks in the cache
 * @param versions the loaded versions
 * @param leaving true if the endpoint is about to stop
 */
public record LoadReport(
        long incarnation,
        int running,
        int queued,
        long queuedPromptTokens,
        int cachedBlocks,
        List<String> versions,
        boolean leaving) {
    /** Copies the list of versions. */
    public LoadReport {
        versions = List.copyOf(versions);
    }
}
