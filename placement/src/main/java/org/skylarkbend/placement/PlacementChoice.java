package org.skylarkbend.placement;

/**
 * The endpoint selected for a request.
 *
 * @param engine the endpoint, and the incarnation whose cache state led to the selection
 * @param cachedTokens the estimated number of prompt tokens in its cache
 * @param backlogTokens the estimated number of prompt tokens queued ahead of this request
 */
public record PlacementChoice(EngineIncarnation engine, long cachedTokens, long backlogTokens) {}
