package org.skylarkbend.control.operator;

import org.skylarkbend.control.feed.FeedStatus;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.LogStatus;
import org.skylarkbend.publishing.PublishingState;

/**
 * A snapshot of the control status for operators.
 *
 * @param leadership the current leadership
 * @param log the state of the replicated log and its voting members
 * @param publishing the latest committed set
 * @param feed the routers and the revision in force, as known to this member
 */
public record OperatorStatus(
        Leadership leadership, LogStatus log, PublishingState publishing, FeedStatus feed) {
    /** Returns whether every live router serves the latest revision. */
    public boolean inForce() {
        return feed.inForceRevision() >= publishing.revision();
    }
}
