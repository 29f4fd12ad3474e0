package org.skylarkbend.placement;

import java.util.Set;
import org.skylarkbend.base.ObjectName;

/**
 * A request to be assigned to an endpoint.
 *
 * @param pool the pool of endpoints to select from
 * @param version the version that must serve the request
 * @param scope the scope of its cache entries
 * @param chain the block hashes of its prompt
 * @param priority its scheduling priority; 0 is the highest
 * @param answerTokens the upper bound on the tokens of the response
 * @param excluded endpoints that must not be selected, such as those already tried
 */
public record PlacementRequest(
        ObjectName pool,
        ObjectName version,
        CacheScope scope,
        PrefixChain chain,
        int priority,
        long answerTokens,
        Set<ObjectName> excluded) {
    /** The number of priorities. */
    public static final int PRIORITIES = 10;

    /** Copies the excluded endpoints and rejects a priority that is out of range. */
    public PlacementRequest {
        if (priority < 0 || priority >= PRIORITIES) {
            throw new IllegalArgumentException("priority out of range: " + priority);
        }
        excluded = Set.copyOf(excluded);
    }
}
