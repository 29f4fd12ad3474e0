package org.skylarkbend.replay.model;

/**
 * Parameters of the engine and network models.
 *
 * @param cacheBlocks capacity of an engine's cache in blocks
 * @param prefillTokensPerSecond prefill throughput of an engine
 * @param millisecondsPerAnswerToken decode time of one response token
 * @param batchRequests maximum number of requests in an engine's batch
 * @param overheadMilliseconds fixed prefill cost of a request
 * @param agingMilliseconds a request is served as if it had arrived later by this time for each
 *     step of lower priority
 * @param reportPeriodMilliseconds interval between load reports of an engine to a router
 * @param reportLagMilliseconds maximum age of the load in a load report when it is sent
 * @param eventDelayMilliseconds maximum delay of a cache event
 * @param eventLossShare fraction of cache events that are lost
 * @param detectionMilliseconds time until a router detects that an engine has stopped or started
 */
public record ModelParameters(
        int cacheBlocks,
        double prefillTokensPerSecond,
        double millisecondsPerAnswerToken,
        int batchRequests,
        long overheadMilliseconds,
        long agingMilliseconds,
        long reportPeriodMilliseconds,
        long reportLagMilliseconds,
        long eventDelayMilliseconds,
        double eventLossShare,
        long detectionMilliseconds) {
    /** Returns the parameters that apply unless the command line overrides them. */
    public static ModelParameters defaults() {
        return new ModelParameters(250, 20_000, 40, 32, 15, 20_000, 1_000, 500, 1_500, 0.01, 500);
    }
}
