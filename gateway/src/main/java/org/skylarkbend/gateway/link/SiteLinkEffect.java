package org.skylarkbend.gateway.link;

import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;

/** Action that the link to control executes. */
public sealed interface SiteLinkEffect {
    /** Opens a connection after a delay. */
    record Dial(ControlAddress address, long delayMilliseconds) implements SiteLinkEffect {}

    /** Closes the connection. */
    record Close(String cause) implements SiteLinkEffect {}

    /** Sends a message to control. */
    record Send(FeedMessage message) implements SiteLinkEffect {}

    /** Reads a catalog document and puts it in force. */
    record ApplyDocument(long number, String text) implements SiteLinkEffect {}

    /** Delivers a message to the slice that it belongs to. */
    record DeliverToSlice(FeedMessage.SliceMessage message) implements SiteLinkEffect {}

    /** Reports that the leader has confirmed the current catalog. */
    record Confirmed() implements SiteLinkEffect {}
}
