package org.skylarkbend.gateway.relay;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.catalog.Relay;

/**
 * Decides in which order a gateway tries the ways to an endpoint: a connection of its own, and
 * connections through other gateways. Confined to one task.
 *
 * <p>An endpoint that only a relay reaches is connected to through relays until a connection of the
 * gateway itself succeeds. A gateway that could not connect to several endpoints, and has connected
 * to none since, is taken for cut off: it tries relays first for all endpoints.
 */
final class EndpointPaths {
    /** Relays that are asked for one connection if the gateway is known to need one. */
    static final int MAX_RELAYS = 3;

    /** Time for which a relay that did not help is asked last. */
    static final long RELAY_BACKOFF_MILLISECONDS = 1_000;

    /**
     * Time for which no relay is asked for an endpoint that one of them could not reach. It doubles
     * with each further one, so that an endpoint that is gone costs the relays little.
     */
    static final long ENDPOINT_BACKOFF_MILLISECONDS = 250;

    private static final int MAX_DOUBLINGS = 4;

    /** Interval at which the gateway's own way to an endpoint that it has lost is tried. */
    static final long CHECK_MILLISECONDS = 500;

    /** Endpoints that a gateway loses at once only if its own links are the cause. */
    private static final int CUT_OFF_ENDPOINTS = 2;

    private final String mDataCentre;
    private final Random mRandom;
    private final Map<SocketAddress, Long> mCheckedAtMilliseconds = new LinkedHashMap<>();
    private final Map<SocketAddress, Long> mRelayedSinceMilliseconds = new HashMap<>();
    private final Set<SocketAddress> mLostSinceDirect = new HashSet<>();
    private final Map<SocketAddress, Unreachable> mUnreachable = new HashMap<>();
    private final Map<Relay, SocketAddress> mUnreachableFor = new HashMap<>();
    private final Map<Relay, Long> mUnsuitableUntilMilliseconds = new HashMap<>();
    private List<Relay> mRelays = List.of();
    private Optional<Relay> mLastUseful = Optional.empty();

    /** Endpoint that some relays in a row could not reach. */
    private record Unreachable(int relays, long untilMilliseconds) {}

    /**
     * The ways to an endpoint.
     *
     * @param startsDirectly true if the gateway's own way is the first one, false if the last
     * @param relays the relays to ask, in this order
     */
    record Ways(boolean startsDirectly, List<Relay> relays) {}

    /**
     * Creates the state of a gateway that knows neither endpoints nor relays.
     *
     * @param dataCentre data centre of the gateway
     * @param random decides which relay is asked first, so that gateways ask different ones
     */
    EndpointPaths(String dataCentre, Random random) {
        mDataCentre = dataCentre;
        mRandom = random;
    }

    /** Replaces the known relays. */
    void relaysListed(List<Relay> relays) {
        mRelays = new ArrayList<>(relays);
        Collections.shuffle(mRelays, mRandom);
        mUnreachableFor.keySet().retainAll(relays);
        mUnsuitableUntilMilliseconds.keySet().retainAll(relays);
        mLastUseful = mLastUseful.filter(relays::contains);
    }

    /** Replaces the known endpoints. */
    void endpointsListed(Set<SocketAddress> endpoints) {
        mCheckedAtMilliseconds.keySet().retainAll(endpoints);
        endpoints.forEach(endpoint -> mCheckedAtMilliseconds.putIfAbsent(endpoint, 0L));
        mRelayedSinceMilliseconds.keySet().retainAll(endpoints);
        mLostSinceDirect.retainAll(endpoints);
        mUnreachable.keySet().retainAll(endpoints);
        mUnreachableFor.values().retainAll(endpoints);
    }

    /** Returns whether an endpoint is listed. */
    boolean isListed(SocketAddress endpoint) {
        return mCheckedAtMilliseconds.containsKey(endpoint);
    }

    /** Returns the ways to an endpoint. */
    Ways waysTo(SocketAddress endpoint, long nowMilliseconds) {
        boolean needsRelay = isRelayed(endpoint) || isCutOff();
        Unreachable unreachable = mUnreachable.get(endpoint);
        boolean isUnreachable =
                unreachable != null && nowMilliseconds < unreachable.untilMilliseconds();
        List<Relay> relays =
                isUnreachable ? List.of() : relays(needsRelay ? MAX_RELAYS : 1, nowMilliseconds);
        return new Ways(!needsRelay || relays.isEmpty(), relays);
    }

    /** Returns whether only relays reach an endpoint, as far as is known. */
    boolean isRelayed(SocketAddress endpoint) {
        return mRelayedSinceMilliseconds.containsKey(endpoint);
    }

    /** Returns whether it was found within a time that only relays reach an endpoint. */
    boolean isRelayedSince(SocketAddress endpoint, long sinceMilliseconds) {
        Long relayedMilliseconds = mRelayedSinceMilliseconds.get(endpoint);
        return relayedMilliseconds != null && relayedMilliseconds >= sinceMilliseconds;
    }

    /** Returns whether the gateway has lost its own way to all endpoints, as far as is known. */
    boolean isCutOff() {
        return mLostSinceDirect.size() >= CUT_OFF_ENDPOINTS;
    }

    /** Returns the endpoints that only relays reach, as far as is known. */
    Set<SocketAddress> relayedEndpoints() {
        return Set.copyOf(mRelayedSinceMilliseconds.keySet());
    }

    /** Returns whether no relay has helped lately. */
    boolean areRelaysUseless(long nowMilliseconds) {
        return mRelays.stream().noneMatch(relay -> isSuitable(relay, nowMilliseconds));
    }

    /**
     * Records that the gateway itself has connected to an endpoint. Returns whether only relays
     * reached it before.
     */
    boolean reachedDirectly(SocketAddress endpoint) {
        mLostSinceDirect.clear();
        mUnreachable.remove(endpoint);
        return mRelayedSinceMilliseconds.remove(endpoint) != null;
    }

    /** Records that the gateway itself could not connect to an endpoint. */
    void failedDirectly(SocketAddress endpoint) {
        if (isListed(endpoint)) {
            mLostSinceDirect.add(endpoint);
        }
    }

    /**
     * Records that a relay has connected to an endpoint before the gateway itself could. Returns
     * whether the gateway's own way was thought to be open until now.
     */
    boolean reachedBy(Relay relay, SocketAddress endpoint, long nowMilliseconds) {
        mLastUseful = Optional.of(relay);
        mUnreachableFor.remove(relay);
        mUnsuitableUntilMilliseconds.remove(relay);
        mUnreachable.remove(endpoint);
        mUnreachableFor.forEach(
                (other, lost) -> {
                    if (lost.equals(endpoint)) {
                        unsuitable(other, nowMilliseconds);
                    }
                });
        mUnreachableFor.values().remove(endpoint);
        mLostSinceDirect.add(endpoint);
        return mRelayedSinceMilliseconds.putIfAbsent(endpoint, nowMilliseconds) == null;
    }

    /**
     * Records that a relay could not connect to an endpoint. If another one can, the first is
     * unsuitable.
     */
    void unreachableFor(Relay relay, SocketAddress endpoint, long nowMilliseconds) {
        mUnreachableFor.put(relay, endpoint);
        Unreachable before = mUnreachable.getOrDefault(endpoint, new Unreachable(0, 0));
        if (nowMilliseconds < before.untilMilliseconds()) {
            return;
        }
        int doublings = Math.min(MAX_DOUBLINGS, before.relays());
        mUnreachable.put(
                endpoint,
                new Unreachable(
                        before.relays() + 1,
                        nowMilliseconds + (ENDPOINT_BACKOFF_MILLISECONDS << doublings)));
    }

    /** Records that a relay did not respond, or is cut off itself. */
    void unsuitable(Relay relay, long nowMilliseconds) {
        mUnsuitableUntilMilliseconds.put(relay, nowMilliseconds + RELAY_BACKOFF_MILLISECONDS);
        mLastUseful = mLastUseful.filter(useful -> !useful.equals(relay));
    }

    /**
     * Returns the endpoints to which the gateway's own way is to be tried again now: those that
     * relays reach, or one of all in turn if the gateway is cut off.
     */
    List<SocketAddress> dueChecks(long nowMilliseconds) {
        Set<SocketAddress> lost = isCutOff() ? mCheckedAtMilliseconds.keySet() : relayedEndpoints();
        List<SocketAddress> due =
                lost.stream()
                        .filter(
                                endpoint ->
                                        nowMilliseconds - mCheckedAtMilliseconds.get(endpoint)
                                                >= CHECK_MILLISECONDS)
                        .sorted(Comparator.comparing(mCheckedAtMilliseconds::get))
                        .limit(isCutOff() ? 1 : Long.MAX_VALUE)
                        .toList();
        due.forEach(endpoint -> mCheckedAtMilliseconds.put(endpoint, nowMilliseconds));
        return due;
    }

    /**
     * Relays that are about to end come last. Of the others the last useful one comes first, then
     * those in this data centre.
     */
    private List<Relay> relays(int count, long nowMilliseconds) {
        List<Relay> suitable = new ArrayList<>(mRelays);
        suitable.removeIf(relay -> !isSuitable(relay, nowMilliseconds));
        suitable.sort(
                Comparator.comparing(Relay::leaving)
                        .thenComparing(relay -> !mLastUseful.equals(Optional.of(relay)))
                        .thenComparing(relay -> !relay.dataCentre().equals(mDataCentre)));
        return List.copyOf(suitable.subList(0, Math.min(count, suitable.size())));
    }

    private boolean isSuitable(Relay relay, long nowMilliseconds) {
        return nowMilliseconds >= mUnsuitableUntilMilliseconds.getOrDefault(relay, nowMilliseconds);
    }
}
