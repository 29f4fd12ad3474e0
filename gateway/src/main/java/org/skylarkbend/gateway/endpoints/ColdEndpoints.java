package org.skylarkbend.gateway.endpoints;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Service;

/**
 * Bounds the calls to endpoints that have just started. Such an endpoint bears a number of calls a
 * second from all gateways together, and crashes at a rate well above it.
 *
 * <p>Every gateway takes an equal part of that number and spreads its calls at random, so that no
 * messages are needed and a gateway that is cut off from the others keeps to the bound. Services
 * whose catalog names no such number are not bounded. Confined to one task.
 */
public final class ColdEndpoints {
    /**
     * Part of the calls that an endpoint bears which all gateways together use. The gateways choose
     * their moments independently, so the calls of single seconds vary by some times the square
     * root of their mean.
     */
    private static final double USED_SHARE = 0.5;

    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final StructuredLog LOG = StructuredLog.of(ColdEndpoints.class);

    private final DoubleSupplier mRandom;
    private final Map<String, Cold> mCold = new HashMap<>();
    private Map<String, Service.WarmUp> mWarmUps = Map.of();
    private int mGateways = 1;

    /**
     * State of a cold endpoint.
     *
     * @param untilMilliseconds time at which it is warm
     * @param nextCallMilliseconds time from which it may get the next call of this gateway; empty
     *     until the first call is considered
     */
    private record Cold(long untilMilliseconds, OptionalLong nextCallMilliseconds) {
        boolean isOver(long nowMilliseconds) {
            return nowMilliseconds >= untilMilliseconds;
        }
    }

    /**
     * Creates the bounds of a gateway that knows no cold endpoint.
     *
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    ColdEndpoints(DoubleSupplier random) {
        mRandom = random;
    }

    /** Sets the number of gateways between which the calls are divided. */
    void gatewaysCounted(int gateways) {
        // A gateway that is cut off is not counted soon, and goes on sending.
        mGateways = Math.max(mGateways, gateways);
    }

    /** Replaces the services, by name. */
    void servicesChanged(Map<String, Service> services) {
        Map<String, Service.WarmUp> warmUps = new HashMap<>();
        services.forEach(
                (name, service) -> service.warmUp().ifPresent(warmUp -> warmUps.put(name, warmUp)));
        mWarmUps = warmUps;
    }

    /** Records for how long endpoints are still cold, by incarnation. */
    public void reported(Map<String, Long> milliseconds, long nowMilliseconds) {
        milliseconds.forEach(
                (incarnation, remaining) -> cold(incarnation, remaining, nowMilliseconds));
    }

    /** Records for how long a listed endpoint is still cold, if the list says so. */
    void listed(Endpoint endpoint, long nowMilliseconds) {
        if (endpoint.coldMilliseconds() > 0) {
            cold(endpoint.incarnation(), endpoint.coldMilliseconds(), nowMilliseconds);
        }
    }

    /** Records that an endpoint may have started anew without notice. */
    void mayBeCold(Endpoint endpoint, long nowMilliseconds) {
        warmUpOf(endpoint)
                .ifPresent(
                        warmUp ->
                                cold(
                                        endpoint.incarnation(),
                                        warmUp.milliseconds(),
                                        nowMilliseconds));
    }

    private void cold(String incarnation, long milliseconds, long nowMilliseconds) {
        long untilMilliseconds = nowMilliseconds + milliseconds;
        Cold known = mCold.get(incarnation);
        if (known == null || known.isOver(nowMilliseconds)) {
            LOG.info("endpoint.cold", "endpoint", incarnation, "milliseconds", milliseconds);
            mCold.put(incarnation, new Cold(untilMilliseconds, OptionalLong.empty()));
        } else if (known.untilMilliseconds() < untilMilliseconds) {
            mCold.put(incarnation, new Cold(untilMilliseconds, known.nextCallMilliseconds()));
        }
    }

    /** Returns whether an endpoint may get another call of this gateway. */
    boolean hasRoom(Endpoint endpoint, long nowMilliseconds) {
        Cold cold = mCold.get(endpoint.incarnation());
        Optional<Service.WarmUp> warmUp = warmUpOf(endpoint);
        if (cold == null || cold.isOver(nowMilliseconds) || warmUp.isEmpty()) {
            return true;
        }
        if (cold.nextCallMilliseconds().isEmpty()) {
            double waitMilliseconds = intervalMilliseconds(warmUp.get()) * mRandom.getAsDouble();
            nextCallAfter(endpoint, cold, waitMilliseconds, nowMilliseconds);
            return false;
        }
        return nowMilliseconds >= cold.nextCallMilliseconds().getAsLong();
    }

    /** Records that an endpoint was sent a call. */
    void sent(Endpoint endpoint, long nowMilliseconds) {
        Cold cold = mCold.get(endpoint.incarnation());
        Optional<Service.WarmUp> warmUp = warmUpOf(endpoint);
        if (cold != null && warmUp.isPresent()) {
            double waitMilliseconds =
                    intervalMilliseconds(warmUp.get()) * (0.5 + mRandom.getAsDouble());
            nextCallAfter(endpoint, cold, waitMilliseconds, nowMilliseconds);
        }
    }

    private void nextCallAfter(
            Endpoint endpoint, Cold cold, double waitMilliseconds, long nowMilliseconds) {
        OptionalLong next = OptionalLong.of(nowMilliseconds + (long) waitMilliseconds);
        mCold.put(endpoint.incarnation(), new Cold(cold.untilMilliseconds(), next));
    }

    private Optional<Service.WarmUp> warmUpOf(Endpoint endpoint) {
        return Optional.ofNullable(mWarmUps.get(endpoint.service()));
    }

    /** Forgets the endpoints that are not listed any more. */
    void retainAll(Set<String> incarnations) {
        mCold.keySet().retainAll(incarnations);
    }

    /** Returns the mean time between two calls of this gateway to one cold endpoint. */
    private double intervalMilliseconds(Service.WarmUp warmUp) {
        return MILLISECONDS_PER_SECOND * mGateways / (warmUp.callsPerSecond() * USED_SHARE);
    }
}
