package org.skylarkbend.orders;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/** Input of the commander. */
public sealed interface OrderMessage {
    /**
     * This control VM has taken command.
     *
     * @param fencingNumber a number assigned by the log, higher than that of every previous
     *     commander
     */
    record CommandTaken(long fencingNumber) implements OrderMessage {}

    /** This control VM has lost command. */
    record CommandLost() implements OrderMessage {}

    /**
     * A quorum has confirmed that this control VM is in command.
     *
     * @param untilMilliseconds the time until which no other commander can send orders, by the
     *     task's own clock
     */
    record LeaseRenewed(long untilMilliseconds) implements OrderMessage {}

    /** The complete list of versions wanted on all endpoints. */
    record Wanted(List<WantedVersion> versions) implements OrderMessage {
        /** Copies the list. */
        public Wanted {
            versions = List.copyOf(versions);
        }
    }

    /** An endpoint has reported its loaded versions. */
    record StateRead(ObjectName endpoint, EndpointReport report) implements OrderMessage {}

    /** An endpoint did not report its loaded versions. */
    record ReadFailed(ObjectName endpoint) implements OrderMessage {}

    /** An endpoint has accepted an order. */
    record OrderAccepted(ObjectName endpoint, long fencingNumber) implements OrderMessage {}

    /** An endpoint has refused an order, because it has seen a higher fencing number. */
    record OrderRefused(ObjectName endpoint, long fencingNumber, long lastFencingNumber)
            implements OrderMessage {}

    /** The outcome of an order is unknown. */
    record OrderFailed(ObjectName endpoint) implements OrderMessage {}

    /** Time has passed. */
    record Tick() implements OrderMessage {}

    /** A version that an endpoint should or should not have loaded. */
    record WantedVersion(ObjectName endpoint, ObjectName version, boolean loaded) {}
}
