package org.skylarkbend.orders;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.orders.OrderMessage.WantedVersion;

/**
 * State of the orders on one control VM. It lives as long as the process; {@link FencingState}
 * holds the persistent part.
 *
 * @param command the command, while this control VM has it
 * @param wanted the versions wanted on all endpoints
 * @param endpoints the state of each endpoint
 */
public record OrderState(
        Optional<Command> command,
        List<WantedVersion> wanted,
        SortedMap<ObjectName, EndpointOrders> endpoints) {
    /** Copies the parts. */
    public OrderState {
        wanted = List.copyOf(wanted);
        endpoints = Collections.unmodifiableSortedMap(new TreeMap<>(endpoints));
    }

    /**
     * The right to send orders.
     *
     * @param fencingNumber the fencing number of this commander's orders
     * @param sinceMilliseconds the time at which it took command
     * @param leaseUntilMilliseconds the time until which no other commander can have taken over
     */
    public record Command(
            long fencingNumber, long sinceMilliseconds, long leaseUntilMilliseconds) {}

    /**
     * Returns the state of a process that has just started, with the fencing behavior recorded in
     * the log.
     */
    public static OrderState started(Map<ObjectName, Fencing> fencing) {
        SortedMap<ObjectName, EndpointOrders> endpoints = new TreeMap<>();
        fencing.forEach((name, known) -> endpoints.put(name, EndpointOrders.initial(known)));
        return new OrderState(Optional.empty(), List.of(), endpoints);
    }

    /** Returns the state of an endpoint. */
    public EndpointOrders endpoint(ObjectName name) {
        return endpoints.getOrDefault(name, EndpointOrders.initial(Fencing.UNKNOWN));
    }

    OrderState withCommand(Optional<Command> next) {
        return new OrderState(next, wanted, endpoints);
    }

    OrderState withWanted(List<WantedVersion> next) {
        return new OrderState(command, next, endpoints);
    }

    OrderState with(ObjectName name, EndpointOrders next) {
        SortedMap<ObjectName, EndpointOrders> changed = new TreeMap<>(endpoints);
        changed.put(name, next);
        return new OrderState(command, wanted, changed);
    }
}
