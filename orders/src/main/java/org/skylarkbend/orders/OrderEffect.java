package org.skylarkbend.orders;

import org.skylarkbend.base.ObjectName;

/** An action that a commander has decided on. */
public sealed interface OrderEffect {
    /** Requests the loaded versions of an endpoint. */
    record ReadState(ObjectName endpoint) implements OrderEffect {}

    /**
     * Sends an order. If no response arrives within {@link
     * OrderDecider#ORDER_TIMEOUT_MILLISECONDS}, the connection is closed and {@link
     * OrderMessage.OrderFailed} is delivered.
     */
    record SendOrder(ObjectName endpoint, long fencingNumber, OrderKind kind, ObjectName version)
            implements OrderEffect {}

    /** Notifies the moves that an endpoint has loaded a version. */
    record NotifyLoaded(ObjectName endpoint, ObjectName version) implements OrderEffect {}

    /** Notifies the moves that an endpoint failed to execute an order or to report its state. */
    record NotifyFailed(ObjectName endpoint) implements OrderEffect {}

    /** Notifies the moves that an endpoint restarted. */
    record NotifyRestarted(ObjectName endpoint) implements OrderEffect {}

    /** Records in the log whether an endpoint checks fencing numbers. */
    record RecordFencing(ObjectName endpoint, Fencing fencing) implements OrderEffect {}

    /**
     * Takes command again through the log, because an endpoint has seen a higher fencing number.
     */
    record ReclaimCommand(long aboveFencingNumber) implements OrderEffect {}
}
