package org.skylarkbend.gateway.link;

import java.util.List;
import org.skylarkbend.publishing.feed.FeedMessage;

/** Input of {@link SiteLinkDecider}. */
public sealed interface SiteLinkMessage {
    /** The task has started. */
    record Started() implements SiteLinkMessage {}

    /** A connection was opened. */
    record Connected() implements SiteLinkMessage {}

    /** The connection was closed, or could not be opened. */
    record Disconnected() implements SiteLinkMessage {}

    /** A heartbeat is due. */
    record HeartbeatDue() implements SiteLinkMessage {}

    /** A message of control has arrived. */
    record Received(FeedMessage message) implements SiteLinkMessage {}

    /** A document was read, and its catalog is in force unless it was refused. */
    record DocumentRead(long number) implements SiteLinkMessage {}

    /** A slice has a message for its counterpart at control. */
    record SliceToSend(FeedMessage.SliceMessage message) implements SiteLinkMessage {}

    /** The seeds in the settings have changed. */
    record SeedsChanged(List<String> hosts) implements SiteLinkMessage {
        /** Creates the message with a copy of {@code hosts}. */
        public SeedsChanged {
            hosts = List.copyOf(hosts);
        }
    }

    /** Control has sent the addresses of the control VMs. */
    record ControlVmsListed(List<String> hosts) implements SiteLinkMessage {
        /** Creates the message with a copy of {@code hosts}. */
        public ControlVmsListed {
            hosts = List.copyOf(hosts);
        }
    }
}
