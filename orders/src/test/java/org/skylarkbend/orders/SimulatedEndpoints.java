package org.skylarkbend.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;
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

/**
 * Simulates endpoints that check fencing numbers and endpoints that do not, under successive
 * commanders with different wanted versions.
 */
final class SimulatedEndpoints {
    private static final long COMMAND_CHANGES_UNTIL_MILLISECONDS = 60_000;
    private static final long END_MILLISECONDS = 100_000;
    private static final long TICK_MILLISECONDS = 250;
    private static final List<ObjectName> VERSIONS =
            List.of(ObjectName.of("v1"), ObjectName.of("v2"), ObjectName.of("v3"));

    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMilliseconds)
                            .thenComparingLong(Event::sequence));
    private final Map<ObjectName, Endpoint> mEndpoints = new TreeMap<>();
    private final List<Commander> mCommanders = new ArrayList<>();
    private final List<String> mOutOfOrder = new ArrayList<>();
    private final List<String> mWrongFencing = new ArrayList<>();
    private long mNowMilliseconds;
    private long mSequence;
    private long mFencingNumber;
    private int mOrdersOfFormerCommanders;
    private SortedSet<ObjectName> mWanted = new TreeSet<>();

    /** An action at a time. */
    private record Event(long atMilliseconds, long sequence, Runnable work) {}

    /** An endpoint with its loaded versions. */
    private static final class Endpoint {
        private final boolean mChecks;
        private final SortedSet<ObjectName> mVersions = new TreeSet<>(List.of(VERSIONS.get(0)));
        private long mIncarnation = 1;
        private long mLastFencingNumber;

        Endpoint(boolean checks) {
            mChecks = checks;
        }
    }

    /** A process that has or had the command. */
    private static final class Commander {
        private final long mNumber;
        private final int mIndex;
        private OrderState mState = OrderState.started(Map.of());
        private boolean mRenews = true;

        Commander(long number, int index) {
            mNumber = number;
            mIndex = index;
        }
    }

    SimulatedEndpoints(long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 1; i <= 4; i++) {
            mEndpoints.put(ObjectName.of("engine-" + i), new Endpoint(i % 2 == 0));
        }
    }

    void run() {
        changeCommander();
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= END_MILLISECONDS) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.work().run();
        }
    }

    List<String> outOfOrder() {
        return mOutOfOrder;
    }

    List<String> wrongFencing() {
        return mWrongFencing;
    }

    int ordersOfFormerCommanders() {
        return mOrdersOfFormerCommanders;
    }

    List<String> mismatches() {
        return mEndpoints.entrySet().stream()
                .filter(entry -> !entry.getValue().mVersions.equals(mWanted))
                .map(entry -> entry.getKey() + " has " + entry.getValue().mVersions)
                .toList();
    }

    /**
     * Replaces the commander. The former one is not notified: it stops renewing its lease, but the
     * lease is still valid.
     */
    private void changeCommander() {
        mCommanders.forEach(former -> former.mRenews = false);
        mFencingNumber++;
        Commander commander = new Commander(mFencingNumber, mCommanders.size());
        mCommanders.add(commander);
        mWanted = new TreeSet<>(List.of(VERSIONS.get(mRandom.nextInt(VERSIONS.size()))));
        mWanted.add(VERSIONS.get(mRandom.nextInt(VERSIONS.size())));
        List<WantedVersion> wanted = new ArrayList<>();
        for (ObjectName endpoint : mEndpoints.keySet()) {
            for (ObjectName version : VERSIONS) {
                wanted.add(new WantedVersion(endpoint, version, mWanted.contains(version)));
            }
        }
        decide(commander, new CommandTaken(commander.mNumber));
        decide(commander, new Wanted(wanted));
        tick(commander);
        long nextMilliseconds = mRandom.nextLong(500, 15_000);
        if (mNowMilliseconds + nextMilliseconds < COMMAND_CHANGES_UNTIL_MILLISECONDS) {
            after(nextMilliseconds, this::changeCommander);
        }
    }

    private void tick(Commander commander) {
        if (commander.mRenews) {
            long untilMilliseconds = mNowMilliseconds + OrderDecider.LEASE_MILLISECONDS;
            decide(commander, new LeaseRenewed(untilMilliseconds));
        }
        decide(commander, new OrderMessage.Tick());
        after(TICK_MILLISECONDS, () -> tick(commander));
    }

    private void decide(Commander commander, OrderMessage message) {
        OrderDecider.Decision decision =
                OrderDecider.decide(commander.mState, message, mNowMilliseconds);
        commander.mState = decision.state();
        decision.effects().forEach(effect -> execute(commander, effect));
    }

    private void execute(Commander commander, OrderEffect effect) {
        if (effect instanceof ReadState read) {
            read(commander, read.endpoint());
        } else if (effect instanceof SendOrder order) {
            send(commander, order);
        } else if (effect instanceof RecordFencing record) {
            boolean checks = mEndpoints.get(record.endpoint()).mChecks;
            if (checks != (record.fencing() == Fencing.CHECKED)) {
                mWrongFencing.add(record.toString());
            }
        } else if (effect instanceof ReclaimCommand && commander.mRenews) {
            mOutOfOrder.add("the newest commander saw a higher fencing number");
        }
    }

    private void read(Commander commander, ObjectName name) {
        if (mRandom.nextInt(10) == 0) {
            after(500, () -> decide(commander, new ReadFailed(name)));
            return;
        }
        Endpoint endpoint = mEndpoints.get(name);
        after(
                mRandom.nextLong(200),
                () -> {
                    EndpointReport report =
                            new EndpointReport(
                                    endpoint.mIncarnation,
                                    endpoint.mVersions,
                                    endpoint.mLastFencingNumber);
                    after(
                            mRandom.nextLong(200),
                            () -> decide(commander, new StateRead(name, report)));
                });
    }

    /** Sends an order, which arrives within its timeout or never. Its response may be lost. */
    private void send(Commander commander, SendOrder order) {
        long arrivalMilliseconds = mRandom.nextLong(OrderDecider.ORDER_TIMEOUT_MILLISECONDS);
        boolean arrives = mRandom.nextInt(10) > 0;
        boolean responds = arrives && mRandom.nextInt(10) > 0;
        if (arrives) {
            after(
                    arrivalMilliseconds,
                    () -> {
                        OrderMessage response = arrive(commander, order);
                        if (responds) {
                            decide(commander, response);
                        }
                    });
        }
        if (!responds) {
            after(
                    OrderDecider.ORDER_TIMEOUT_MILLISECONDS,
                    () -> decide(commander, new OrderFailed(order.endpoint())));
        }
    }

    private OrderMessage arrive(Commander commander, SendOrder order) {
        Endpoint endpoint = mEndpoints.get(order.endpoint());
        boolean isFormer = commander.mIndex < mCommanders.size() - 1;
        mOrdersOfFormerCommanders += isFormer ? 1 : 0;
        if (endpoint.mChecks && order.fencingNumber() < endpoint.mLastFencingNumber) {
            return new OrderRefused(
                    order.endpoint(), order.fencingNumber(), endpoint.mLastFencingNumber);
        }
        if (order.fencingNumber() > 0 && order.fencingNumber() < endpoint.mLastFencingNumber) {
            mOutOfOrder.add(order + " after fencing number " + endpoint.mLastFencingNumber);
        }
        endpoint.mLastFencingNumber = Math.max(endpoint.mLastFencingNumber, order.fencingNumber());
        if (order.kind() == OrderKind.LOAD_VERSION) {
            endpoint.mVersions.add(order.version());
        } else {
            endpoint.mVersions.remove(order.version());
        }
        if (mRandom.nextInt(50) == 0 && mNowMilliseconds < COMMAND_CHANGES_UNTIL_MILLISECONDS) {
            endpoint.mIncarnation++;
            endpoint.mVersions.clear();
        }
        return new OrderAccepted(order.endpoint(), order.fencingNumber());
    }

    private void after(long milliseconds, Runnable work) {
        mSequence++;
        mEvents.add(new Event(mNowMilliseconds + milliseconds, mSequence, work));
    }
}
