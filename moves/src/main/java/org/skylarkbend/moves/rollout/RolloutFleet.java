package org.skylarkbend.moves.rollout;

import java.util.Set;

/**
 * The endpoints of a service as known to the leader during a rollout.
 *
 * @param listsVersion true if endpoints of the new version are listed
 * @param otherVersions the other versions of the listed endpoints
 * @param callsAtOthers the number of calls that gateways have in flight at endpoints of other
 *     versions
 * @param reportedMilliseconds the time since which all gateways have reported their calls
 */
public record RolloutFleet(
        boolean listsVersion,
        Set<String> otherVersions,
        long callsAtOthers,
        long reportedMilliseconds) {
    /** Copies the set. */
    public RolloutFleet {
        otherVersions = Set.copyOf(otherVersions);
    }
}
