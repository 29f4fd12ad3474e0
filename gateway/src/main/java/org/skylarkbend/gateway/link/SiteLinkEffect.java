package org.skylarkbend.gateway.link;

import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;

/** What the link to control does next. */
public sealed interface SiteLinkEffect {
    /** Open a connection after a while. */
    record Dial(ControlAddress address, long delayMilliseconds) implements SiteLinkEffect {}

    /** Close the connection. */
    record Close(String cause) implements SiteLinkEffect {}

    /** Send a message. */
    record Send(FeedMessage message) implements SiteLinkEffect {}

    /** Read a document and serve by it. */
    record TakeDocument(long number, String text) implements SiteLinkEffect {}

    /** Hand a message to the slice that it belongs to. */
    record HandToSlice(FeedMessage.SliceMessage message) implements SiteLinkEffect {}

    /** The leader has confirmed that nothing newer is in force. */
    record Confirmed() implements SiteLinkEffect {}
}
