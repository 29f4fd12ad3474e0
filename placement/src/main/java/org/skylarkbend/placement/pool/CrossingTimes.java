package org.skylarkbend.placement.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns what it costs a call to leave the data centre of its router, from the time that new
 * connections take. Confined to one task.
 */
public final class CrossingTimes {
    /** Weight of a new observation in the mean. */
    private static final double WEIGHT = 0.1;

    /** Longest time that counts; longer ones tell of failures and not of the distance. */
    private static final double MAX_MILLISECONDS = 60;

    /** Observations without which the distance is taken for unknown, and for 0. */
    private static final int MIN_OBSERVATIONS = 5;

    /** Round trips until the first event: that of the connection, and that of the request. */
    private static final double ROUND_TRIPS = 2;

    private final String mOwn;
    private final Map<String, Mean> mConnecting = new HashMap<>();

    private record Mean(double milliseconds, int observations) {
        Mean with(double observed) {
            double weight = Math.max(WEIGHT, 1.0 / (observations + 1));
            return new Mean(milliseconds + weight * (observed - milliseconds), observations + 1);
        }
    }

    /** Creates the times of a router in a data centre. */
    public CrossingTimes(String own) {
        mOwn = own;
    }

    /** Records the time that a new connection to a data centre took. */
    public void connected(String dataCentre, double milliseconds) {
        Mean known = mConnecting.getOrDefault(dataCentre, new Mean(0, 0));
        mConnecting.put(dataCentre, known.with(Math.min(milliseconds, MAX_MILLISECONDS)));
    }

    /** Returns the time that a call to a data centre takes longer than one that stays. */
    public double extraMilliseconds(String dataCentre) {
        Mean own = mConnecting.get(mOwn);
        Mean other = mConnecting.get(dataCentre);
        boolean isUnknown =
                dataCentre.equals(mOwn)
                        || own == null
                        || other == null
                        || own.observations() < MIN_OBSERVATIONS
                        || other.observations() < MIN_OBSERVATIONS;
        return isUnknown
                ? 0
                : Math.max(0, ROUND_TRIPS * (other.milliseconds() - own.milliseconds()));
    }
}
