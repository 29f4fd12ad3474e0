package org.skylarkbend.standin.engine;

import java.util.List;

/**
 * The capacity and the speed of an engine.
 *
 * @param versions the versions loaded at the start; the first is active
 * @param cacheBlocks the capacity of the prefix cache in blocks
 * @param batchSlots the maximum number of concurrent responses
 * @param promptTokensPerMillisecond the rate at which uncached prompt tokens are computed
 * @param answerTokenMilliseconds the time between consecutive tokens of a response
 * @param loadMilliseconds the time it takes to load a version
 * @param checksFencing true if orders with an old fencing number are refused
 * @param eventDelayMilliseconds the delay of cache events
 * @param reportLagMilliseconds the age of load reports
 */
public record EngineOptions(
        List<String> versions,
        int cacheBlocks,
        int batchSlots,
        double promptTokensPerMillisecond,
        long answerTokenMilliseconds,
        long loadMilliseconds,
        boolean checksFencing,
        long eventDelayMilliseconds,
        long reportLagMilliseconds) {
    /** Copies the list of versions. */
    public EngineOptions {
        versions = List.copyOf(versions);
    }
}
