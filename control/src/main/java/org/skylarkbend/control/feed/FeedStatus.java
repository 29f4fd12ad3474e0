package org.skylarkbend.control.feed;

import java.util.List;

/**
 * A snapshot of the feed.
 *
 * @param leads true if this member is the leader
 * @param inForceRevision the latest revision that every live router serves
 * @param nowMilliseconds the time of the snapshot, on the same clock as the times of the routers
 * @param routers the known routers, ordered by VM and incarnation
 */
public record FeedStatus(
        boolean leads, long inForceRevision, long nowMilliseconds, List<RouterRecord> routers) {
    /** Copies the list. */
    public FeedStatus {
        routers = List.copyOf(routers);
    }
}
