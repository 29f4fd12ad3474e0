package org.skylarkbend.placement;

/** Selects one of the candidate endpoints for a request. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Returns the index of the selected candidate.
     *
     * @param request the request to place
     * @param candidates the candidates; there is at least one
     * @param nowMilliseconds the current time
     */
    int choose(PlacementRequest request, CandidateTable candidates, long nowMilliseconds);
}
