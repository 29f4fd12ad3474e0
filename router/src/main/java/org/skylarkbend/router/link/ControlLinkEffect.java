package org.skylarkbend.router.link;

import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;

/** Effects to be executed by the control link task. */
public sealed interface ControlLinkEffect {
    /** Open a connection after the given delay. */
    record Dial(ControlAddress address, long delayMilliseconds) implements ControlLinkEffect {}

    /** Close the connection. */
    record Close(String cause) implements ControlLinkEffect {}

    /** Send a message on the open connection. */
    record Send(FeedMessage message) implements ControlLinkEffect {}

    /** Publish a new serving view to the other tasks. */
    record Serve(ServingView view) implements ControlLinkEffect {}

    /** Pass a message to the slice that it names. */
    record DispatchToSlice(FeedMessage.SliceMessage message) implements ControlLinkEffect {}

    /** Log that a published set was rejected. */
    record LogRejectedSet(long revision, String detail) implements ControlLinkEffect {}
}
