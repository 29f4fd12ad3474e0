package org.skylarkbend.publishing.feed;

import java.util.Arrays;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;

/** A message between a router and a control VM. */
public sealed interface FeedMessage {
    /** Router to control: the first message of a connection. */
    record RouterHello(ObjectName vm, ObjectName dataCentre, long incarnation)
            implements FeedMessage {}

    /**
     * Router to control: a heartbeat that requests a new lease.
     *
     * @param sequence the number of the heartbeat, increasing within an incarnation
     * @param revision the revision that the router has in force
     */
    record RouterHeartbeat(long sequence, long revision) implements FeedMessage {}

    /**
     * Control to router: permits the router to serve routes that need a key until the lease
     * expires.
     *
     * @param sequence the number of the heartbeat to which this is the response
     * @param revision the newest committed revision; older ones must not be served any longer
     * @param leaseMilliseconds the duration of the lease, counted from the sending of the heartbeat
     */
    record ServingLease(long sequence, long revision, long leaseMilliseconds)
            implements FeedMessage {}

    /** Control to router: this control VM is not the leader. */
    record NotLeader(Optional<ControlAddress> leader) implements FeedMessage {}

    /** Router to control: requests the text of the newest committed set. */
    record SetRequest(long knownRevision) implements FeedMessage {}

    /** Control to router: a committed set. */
    record SetDocument(long revision, String yaml) implements FeedMessage {}

    /** Both directions: a message of another slice, encoded by that slice's own codec. */
    record SliceMessage(String slice, byte[] payload) implements FeedMessage {
        /** Makes a defensive copy of the payload. */
        public SliceMessage {
            payload = payload.clone();
        }

        @Override
        public byte[] payload() {
            return payload.clone();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SliceMessage message
                    && message.slice.equals(slice)
                    && Arrays.equals(message.payload, payload);
        }

        @Override
        public int hashCode() {
            return 31 * slice.hashCode() + Arrays.hashCode(payload);
        }
    }

    /** The address on which a control VM listens for routers. */
    record ControlAddress(String host, int port) {}
}
