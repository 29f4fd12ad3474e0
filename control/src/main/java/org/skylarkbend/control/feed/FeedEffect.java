package org.skylarkbend.control.feed;

import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage;

/** An effect that the feed task executes. */
public sealed interface FeedEffect {
    /** Sends a message to a router. */
    record Send(long connection, FeedMessage message) implements FeedEffect {}

    /** Starts a confirmation of the leadership by a quorum. */
    record Confirm(long confirmation) implements FeedEffect {}

    /** Proposes a slice message to the log and sends the response back to the router. */
    record Propose(long connection, String slice, byte[] payload) implements FeedEffect {
        /** Copies the payload. */
        public Propose {
            payload = payload.clone();
        }

        @Override
        public byte[] payload() {
            return payload.clone();
        }
    }

    /** Passes a slice message from a router to the owner of the slice on the leader. */
    record Forward(ObjectName vm, long incarnation, String slice, byte[] payload)
            implements FeedEffect {
        /** Copies the payload. */
        public Forward {
            payload = payload.clone();
        }

        @Override
        public byte[] payload() {
            return payload.clone();
        }
    }

    /** Reports that a router got its first lease on a connection. */
    record ReportConnected(ObjectName vm, long incarnation) implements FeedEffect {}

    /** Closes a connection whose router violated the protocol. */
    record Close(long connection, String reason) implements FeedEffect {}

    /** Reports that every live router serves this revision or a later one. */
    record ReportInForce(long revision) implements FeedEffect {}
}
