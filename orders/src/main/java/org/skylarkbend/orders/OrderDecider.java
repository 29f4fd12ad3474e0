package org.skylarkbend.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.orders.EndpointOrders.Step;
import org.skylarkbend.orders.OrderEffect.NotifyFailed;
import org.skylarkbend.orders.OrderEffect.NotifyLoaded;
import org.skylarkbend.orders.OrderEffect.NotifyRestarted;
import org.skylarkbend.orders.OrderEffect.ReadState;
import org.skylarkbend.orders.OrderEffect.ReclaimCommand;
import org.skylarkbend.orders.OrderEffect.RecordFencing;
import org.skylarkbend.orders.OrderEffect.SendOrder;
import org.skylarkbend.orders.OrderMessage.CommandTaken;
import org.skylarkbend.orders.OrderMessage.LeaseRenewed;
import org.skylarkbend.orders.OrderMessage.OrderAccepted;
import org.skylarkbend.orders.OrderMessage.OrderFailed;
import org.skylarkbend.orders.OrderMessage.OrderRefused;
import org.skylarkbend.orders.OrderMessage.ReadFailed;
import org.skylarkbend.orders.OrderMessage.StateRead;
import org.skylarkbend.orders.OrderMessage.Wanted;
import org.skylarkbend.orders.OrderMessage.WantedVersion;
import org.skylarkbend.orders.OrderState.Command;

/**
 * Decides which orders a commander sends.
 *
 * <p>It compares the loaded versions reported by each endpoint with the wanted ones, orders the
 * difference one order at a time, and reads the state again after each order. An endpoint that
 * checks fencing numbers accepts orders from the newest commander only. Endpoints that do not check
 * fencing numbers get no order from a new commander until its predecessor's lease and last order
 * have expired and it has read the state again. An order is sent only if its timeout ends within
 * the commander's own lease.
 */
public final class OrderDecider {
    /** Maximum time for which a commander may send orders after a quorum last confirmed it. */
    public static final long LEASE_MILLISECONDS = 3_000;

    /** Time after which an unanswered order is abandoned and its connection closed. */
    public static final long ORDER_TIMEOUT_MILLISECONDS = 2_000;

    /** Maximum difference between two clocks over a lease and an order. */
    public static final long DRIFT_MARGIN_MILLISECONDS = 500;

    /**
     * Time for which a new commander sends nothing to endpoints that do not check fencing numbers.
     */
    public static final long TAKEOVER_WAIT_MILLISECONDS =
            LEASE_MILLISECONDS + ORDER_TIMEOUT_MILLISECONDS + DRIFT_MARGIN_MILLISECONDS;

    private static final long READ_INTERVAL_MILLISECONDS = 1_000;
    private static final long MIN_RETRY_MILLISECONDS = 200;
    private static final long MAX_RETRY_MILLISECONDS = 5_000;
    private static final int MAX_RETRY_DOUBLINGS = 10;

    /** Fencing number below all numbers of the log. Endpoints that check refuse it. */
    private static final long PROBE_FENCING_NUMBER = 0;

    private OrderDecider() {}

    /** The next state and the effects to execute. */
    public record Decision(OrderState state, List<OrderEffect> effects) {
        /** Copies the effects. */
        public Decision {
            effects = List.copyOf(effects);
        }
    }

    /** Processes a message and returns the next state and the effects. */
    public static Decision decide(OrderState state, OrderMessage message, long nowMilliseconds) {
        List<OrderEffect> effects = new ArrayList<>();
        OrderState changed = apply(state, message, nowMilliseconds, effects);
        if (changed.command().isPresent()) {
            for (ObjectName endpoint : endpointsOf(changed)) {
                changed = advance(changed, endpoint, nowMilliseconds, effects);
            }
        }
        return new Decision(changed, effects);
    }

    private static OrderState apply(
            OrderState state,
            OrderMessage message,
            long nowMilliseconds,
            List<OrderEffect> effects) {
        if (message instanceof CommandTaken taken) {
            return commandTaken(state, taken.fencingNumber(), nowMilliseconds);
        }
        if (message instanceof OrderMessage.CommandLost) {
            return state.withCommand(Optional.empty());
        }
        if (message instanceof LeaseRenewed renewed) {
            return state.withCommand(state.command().map(command -> renewed(command, renewed)));
        }
        if (message instanceof Wanted wanted) {
            return state.withWanted(wanted.versions());
        }
        if (message instanceof StateRead read) {
            return stateRead(state, read, nowMilliseconds, effects);
        }
        return handleResponse(state, message, nowMilliseconds, effects);
    }

    private static OrderState commandTaken(
            OrderState state, long fencingNumber, long nowMilliseconds) {
        Command command = new Command(fencingNumber, nowMilliseconds, nowMilliseconds);
        OrderState changed = state.withCommand(Optional.of(command));
        for (ObjectName endpoint : state.endpoints().keySet()) {
            changed = changed.with(endpoint, state.endpoint(endpoint).idle(nowMilliseconds, 0));
        }
        return changed;
    }

    private static Command renewed(Command command, LeaseRenewed renewed) {
        return new Command(
                command.fencingNumber(),
                command.sinceMilliseconds(),
                Math.max(command.leaseUntilMilliseconds(), renewed.untilMilliseconds()));
    }

    private static OrderState handleResponse(
            OrderState state,
            OrderMessage message,
            long nowMilliseconds,
            List<OrderEffect> effects) {
        if (message instanceof OrderAccepted accepted) {
            return accepted(state, accepted, nowMilliseconds, effects);
        }
        if (message instanceof OrderRefused refused) {
            return refused(state, refused, nowMilliseconds, effects);
        }
        if (message instanceof OrderFailed failed) {
            return failed(state, failed.endpoint(), nowMilliseconds, effects);
        }
        if (message instanceof ReadFailed failed) {
            return failed(state, failed.endpoint(), nowMilliseconds, effects);
        }
        return state;
    }

    private static OrderState stateRead(
            OrderState state, StateRead read, long nowMilliseconds, List<OrderEffect> effects) {
        EndpointOrders known = state.endpoint(read.endpoint());
        boolean restarted =
                known.lastReport()
                        .filter(last -> last.incarnation() != read.report().incarnation())
                        .isPresent();
        if (restarted) {
            effects.add(new NotifyRestarted(read.endpoint()));
        }
        for (WantedVersion wanted : state.wanted()) {
            boolean isLoaded =
                    wanted.endpoint().equals(read.endpoint())
                            && wanted.loaded()
                            && read.report().versions().contains(wanted.version());
            if (isLoaded) {
                effects.add(new NotifyLoaded(wanted.endpoint(), wanted.version()));
            }
        }
        return state.with(
                read.endpoint(),
                known.read(read.report(), nowMilliseconds + READ_INTERVAL_MILLISECONDS));
    }

    private static OrderState accepted(
            OrderState state,
            OrderAccepted accepted,
            long nowMilliseconds,
            List<OrderEffect> effects) {
        EndpointOrders known = state.endpoint(accepted.endpoint());
        if (known.isProbing() && accepted.fencingNumber() == PROBE_FENCING_NUMBER) {
            known = known.withFencing(Fencing.IGNORED);
            effects.add(new RecordFencing(accepted.endpoint(), Fencing.IGNORED));
        }
        return state.with(accepted.endpoint(), known.idle(nowMilliseconds, 0));
    }

    private static OrderState refused(
            OrderState state,
            OrderRefused refused,
            long nowMilliseconds,
            List<OrderEffect> effects) {
        EndpointOrders known = state.endpoint(refused.endpoint());
        if (known.fencing() != Fencing.CHECKED) {
            known = known.withFencing(Fencing.CHECKED);
            effects.add(new RecordFencing(refused.endpoint(), Fencing.CHECKED));
        }
        boolean isSuperseded =
                state.command()
                        .filter(command -> refused.lastFencingNumber() > command.fencingNumber())
                        .isPresent();
        if (isSuperseded) {
            effects.add(new ReclaimCommand(refused.lastFencingNumber()));
            return state.with(refused.endpoint(), known.idle(nowMilliseconds, 0))
                    .withCommand(Optional.empty());
        }
        return state.with(refused.endpoint(), known.idle(nowMilliseconds, 0));
    }

    private static OrderState failed(
            OrderState state,
            ObjectName endpoint,
            long nowMilliseconds,
            List<OrderEffect> effects) {
        effects.add(new NotifyFailed(endpoint));
        EndpointOrders known = state.endpoint(endpoint);
        int doublings = Math.min(known.failures(), MAX_RETRY_DOUBLINGS);
        long retryDelayMilliseconds =
                Math.min(MAX_RETRY_MILLISECONDS, MIN_RETRY_MILLISECONDS << doublings);
        return state.with(
                endpoint,
                known.idle(nowMilliseconds + retryDelayMilliseconds, known.failures() + 1));
    }

    private static Iterable<ObjectName> endpointsOf(OrderState state) {
        TreeSet<ObjectName> names = new TreeSet<>();
        state.wanted().forEach(wanted -> names.add(wanted.endpoint()));
        return names;
    }

    private static OrderState advance(
            OrderState state, ObjectName name, long nowMilliseconds, List<OrderEffect> effects) {
        EndpointOrders known = state.endpoint(name);
        Command command = state.command().orElseThrow();
        if (known.step() != Step.IDLE || !mayContact(known, command, nowMilliseconds)) {
            return state;
        }
        if (known.reportUsable() && mayOrder(command, nowMilliseconds)) {
            Optional<SendOrder> order = nextOrder(state, name, known, command);
            if (order.isPresent()) {
                effects.add(order.get());
                boolean probing = order.get().fencingNumber() == PROBE_FENCING_NUMBER;
                return state.with(name, known.ordering(probing));
            }
        }
        if (nowMilliseconds < known.nextAtMilliseconds()) {
            return state;
        }
        effects.add(new ReadState(name));
        return state.with(name, known.reading());
    }

    /**
     * Returns whether the endpoint may be contacted. One that does not check fencing numbers is not
     * contacted until the former commander's orders have expired.
     */
    private static boolean mayContact(EndpointOrders known, Command command, long nowMilliseconds) {
        return known.fencing() == Fencing.CHECKED
                || nowMilliseconds - command.sinceMilliseconds() >= TAKEOVER_WAIT_MILLISECONDS;
    }

    private static boolean mayOrder(Command command, long nowMilliseconds) {
        return nowMilliseconds + ORDER_TIMEOUT_MILLISECONDS <= command.leaseUntilMilliseconds();
    }

    private static Optional<SendOrder> nextOrder(
            OrderState state, ObjectName name, EndpointOrders known, Command command) {
        EndpointReport report = known.lastReport().orElseThrow();
        boolean canProbe = report.lastFencingNumber() > PROBE_FENCING_NUMBER;
        if (known.fencing() == Fencing.UNKNOWN && canProbe && !report.versions().isEmpty()) {
            return Optional.of(
                    new SendOrder(
                            name,
                            PROBE_FENCING_NUMBER,
                            OrderKind.LOAD_VERSION,
                            report.versions().first()));
        }
        return state.wanted().stream()
                .filter(wanted -> wanted.endpoint().equals(name))
                .filter(wanted -> wanted.loaded() != report.versions().contains(wanted.version()))
                .findFirst()
                .map(wanted -> order(wanted, command.fencingNumber()));
    }

    private static SendOrder order(WantedVersion wanted, long fencingNumber) {
        OrderKind kind = wanted.loaded() ? OrderKind.LOAD_VERSION : OrderKind.UNLOAD_VERSION;
        return new SendOrder(wanted.endpoint(), fencingNumber, kind, wanted.version());
    }
}
