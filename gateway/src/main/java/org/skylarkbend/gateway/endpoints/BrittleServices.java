package org.skylarkbend.gateway.endpoints;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import org.skylarkbend.base.StructuredLog;

/**
 * Bounds the calls to endpoints that fall over if they have to refuse many.
 *
 * <p>Such an endpoint gets no calls that would wait there, and the free slots are divided between
 * the gateways: between two sums of the work of all gateways each adds no more calls than its share
 * of the slots that were free in the last sum. Confined to one task.
 */
public final class BrittleServices {
    /** Time for which a service counts as brittle after an endpoint has said so. */
    static final long REPORT_VALID_MILLISECONDS = 5_000;

    /**
     * Time to which the refusals that an endpoint bears apply. Between two refusals in a row a
     * gateway waits until its part of them is due again, and twice as long each time.
     */
    static final long REFUSALS_MILLISECONDS = 1_000;

    private static final int MAX_DOUBLINGS = 3;

    /** Age at which the sum of the work of others is out of date. */
    private static final long SUM_VALID_MILLISECONDS = 1_500;

    private static final StructuredLog LOG = StructuredLog.of(BrittleServices.class);

    private final DoubleSupplier mRandom;
    private final Map<String, Brittle> mBrittle = new HashMap<>();
    private final Map<String, Room> mRooms = new HashMap<>();
    private int mGateways = 1;
    private long mSumMilliseconds = Long.MIN_VALUE / 2;

    /** State of a brittle service, and the time at which it expires. */
    private record Brittle(long refusalsBorne, long untilMilliseconds) {}

    /** Room for calls of this gateway at an endpoint. */
    private static final class Room {
        private OptionalLong mMostCalls = OptionalLong.empty();
        private int mRefusals;
        private long mRefusedUntilMilliseconds = Long.MIN_VALUE / 2;
    }

    /**
     * Creates the bounds of a gateway whose endpoints are sound.
     *
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    BrittleServices(DoubleSupplier random) {
        mRandom = random;
    }

    /** Sets the number of gateways between which free slots are divided. */
    public void gatewaysCounted(int gateways) {
        mGateways = Math.max(1, gateways);
    }

    /**
     * Records the state of a service that a response of one of its endpoints reports.
     *
     * @param service the service
     * @param refusalsBorne the calls that each of its endpoints may refuse in a second without
     *     falling over; empty if the service is sound
     * @param nowMilliseconds current time
     */
    public void reported(String service, OptionalLong refusalsBorne, long nowMilliseconds) {
        if (refusalsBorne.isEmpty()) {
            if (mBrittle.remove(service) != null) {
                LOG.info("service.sound", "service", service);
            }
            return;
        }
        if (!isBrittle(service, nowMilliseconds)) {
            LOG.info(
                    "service.brittle",
                    "service",
                    service,
                    "refusals_borne",
                    refusalsBorne.getAsLong(),
                    "gateways",
                    mGateways);
        }
        mBrittle.put(
                service,
                new Brittle(
                        refusalsBorne.getAsLong(), nowMilliseconds + REPORT_VALID_MILLISECONDS));
    }

    /** Returns whether the endpoints of a service are brittle. */
    public boolean isBrittle(String service, long nowMilliseconds) {
        Brittle brittle = mBrittle.get(service);
        return brittle != null && nowMilliseconds < brittle.untilMilliseconds();
    }

    /** Divides the free slots anew, as the work of all other gateways was just received. */
    void sumReceived(Map<String, EndpointLoad> loads, long nowMilliseconds) {
        mSumMilliseconds = nowMilliseconds;
        mRooms.keySet().retainAll(loads.keySet());
        if (mBrittle.isEmpty()) {
            return;
        }
        for (EndpointLoad load : loads.values()) {
            if (isBrittle(load.endpoint().service(), nowMilliseconds)) {
                long free = load.endpoint().slots() - load.calls(nowMilliseconds);
                room(load).mMostCalls =
                        OptionalLong.of(load.own().calls() + share(Math.max(0, free)));
            }
        }
    }

    /** Returns the part of free slots for this gateway, rounded up or down at random. */
    private long share(long free) {
        double share = (double) free / mGateways;
        long whole = (long) share;
        return whole + (mRandom.getAsDouble() < share - whole ? 1 : 0);
    }

    /** Returns whether an endpoint may get another call of this gateway. */
    boolean hasRoom(EndpointLoad load, long nowMilliseconds) {
        if (!isBrittle(load.endpoint().service(), nowMilliseconds)) {
            return true;
        }
        Room room = room(load);
        boolean isSumKnown = nowMilliseconds - mSumMilliseconds < SUM_VALID_MILLISECONDS;
        long fixedPart = Math.max(1, load.endpoint().slots() / mGateways);
        long mostCalls = isSumKnown ? room.mMostCalls.orElse(fixedPart) : fixedPart;
        return nowMilliseconds >= room.mRefusedUntilMilliseconds
                && load.own().calls() < mostCalls
                && load.calls(nowMilliseconds) < load.endpoint().slots();
    }

    /** Records that an endpoint refused a call of this gateway. */
    void refused(EndpointLoad load, long nowMilliseconds) {
        String service = load.endpoint().service();
        if (isBrittle(service, nowMilliseconds)) {
            Room room = room(load);
            long borne = Math.max(1, mBrittle.get(service).refusalsBorne());
            long partMilliseconds =
                    Math.max(REFUSALS_MILLISECONDS, REFUSALS_MILLISECONDS * mGateways / borne);
            long milliseconds = partMilliseconds << Math.min(room.mRefusals, MAX_DOUBLINGS);
            room.mRefusedUntilMilliseconds =
                    nowMilliseconds + milliseconds + (long) (milliseconds * mRandom.getAsDouble());
            room.mRefusals++;
        }
    }

    /** Records that an endpoint answered a call of this gateway. */
    void answered(EndpointLoad load) {
        Room room = mRooms.get(load.incarnation());
        if (room != null) {
            room.mRefusals = 0;
        }
    }

    private Room room(EndpointLoad load) {
        return mRooms.computeIfAbsent(load.incarnation(), key -> new Room());
    }
}
