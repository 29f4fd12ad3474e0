package org.skylarkbend.gateway.link;

import java.util.List;
import org.skylarkbend.publishing.feed.FeedMessage;

/** What the link to control decides upon. */
public sealed interface SiteLinkMessage {
    /** The task has started. */
    record Started() implements SiteLinkMessage {}

    /** A connection is open. */
    record Connected() implements SiteLinkMessage {}

    /** The connection ended, or could not be opened. */
    record Disconnected() implements SiteLinkMessage {}

    /** A beat is due. */
    record BeatDue() implements SiteLinkMessage {}

    /** Control sent a message. */
    record Received(FeedMessage message) implements SiteLinkMessage {}

    /** A slice has a message for its owner at control. */
    record SliceToSend(FeedMessage.SliceMessage message) implements SiteLinkMessage {}

    /** The settings name other control VMs now. */
    record SeedsChanged(List<String> hosts) implements SiteLinkMessage {
        /** Copies the list. */
        public SeedsChanged {
            hosts = List.copyOf(hosts);
        }
    }

    /** Control VMs are known beside those of the settings. */
    record ControlVmsKnown(List<String> hosts) implements SiteLinkMessage {
        /** Copies the list. */
        public ControlVmsKnown {
            hosts = List.copyOf(hosts);
        }
    }
}
