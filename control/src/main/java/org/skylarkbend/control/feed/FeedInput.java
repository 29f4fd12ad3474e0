package org.skylarkbend.control.feed;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;

/** An input of {@link FeedDecider}. Connection numbers are never reused. */
public sealed interface FeedInput {
    /** A router sent a message. */
    record RouterSent(long connection, FeedMessage message) implements FeedInput {}

    /** A connection ended. */
    record ConnectionEnded(long connection) implements FeedInput {}

    /** This member gained or lost the leadership, or learned of another leader. */
    record LeadershipChanged(boolean leads, Optional<ControlAddress> leader) implements FeedInput {}

    /**
     * A leadership confirmation ended. It succeeded if a quorum confirmed that this member leads.
     */
    record ConfirmationEnded(long confirmation, boolean confirmed) implements FeedInput {}

    /** A revision was committed. */
    record RevisionCommitted(long revision, String yaml) implements FeedInput {}

    /**
     * A slice has a new retained message, which replaces the previous one. Every other router gets
     * it with its first lease.
     *
     * @param message the new retained message
     * @param update sent to every router that has a lease, and therefore the previous message
     */
    record RetainedMessageChanged(SliceMessage message, SliceMessage update) implements FeedInput {
        /** Creates a change that is sent whole to every router with a lease. */
        public RetainedMessageChanged(SliceMessage message) {
            this(message, message);
        }
    }

    /**
     * As {@link RetainedMessageChanged}, for a message that only the leader knows. It is dropped
     * when the leadership of this member ends.
     */
    record LeaderMessageChanged(SliceMessage message, SliceMessage update) implements FeedInput {}

    /** The owner of a slice has a message for a router. */
    record MessageForRouter(ObjectName vm, long incarnation, SliceMessage message)
            implements FeedInput {}

    /** Time has passed. */
    record TimePassed() implements FeedInput {}
}
