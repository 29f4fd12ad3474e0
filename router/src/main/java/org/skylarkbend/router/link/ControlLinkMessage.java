package org.skylarkbend.router.link;

import org.skylarkbend.publishing.feed.FeedMessage;

/** Messages to the control link task. */
public sealed interface ControlLinkMessage {
    /** The task has started. */
    record Started() implements ControlLinkMessage {}

    /** A connection was opened. */
    record Connected() implements ControlLinkMessage {}

    /** The connection was closed or could not be opened. */
    record Disconnected() implements ControlLinkMessage {}

    /** The next heartbeat is due. */
    record HeartbeatDue() implements ControlLinkMessage {}

    /** A message from control was received. */
    record Received(FeedMessage message) implements ControlLinkMessage {}

    /** Another task requests that a message be sent to control. */
    record SendSliceMessage(FeedMessage.SliceMessage message) implements ControlLinkMessage {}

    /** A snapshot of the published set and lease of a peer router was received. */
    record PeerSnapshot(long revision, String yaml, long leaseUntilMilliseconds)
            implements ControlLinkMessage {}
}
