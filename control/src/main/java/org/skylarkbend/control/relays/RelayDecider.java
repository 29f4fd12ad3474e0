package org.skylarkbend.control.relays;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.limits.RouterIdentity;

/** Collects the offers of gateways to open connections to endpoints. Confined to one task. */
public final class RelayDecider {
    /** A gateway without an offer for this long is dropped; gateways repeat theirs each second. */
    static final long OFFER_VALID_MILLISECONDS = 3_000;

    private static final Comparator<Relay> ORDER =
            Comparator.comparing(Relay::host).thenComparing(Relay::port);

    private final Map<ObjectName, Offer> mOffers = new LinkedHashMap<>();
    private List<Relay> mListed = List.of();

    /** The latest offer of a VM and its time of arrival. */
    private record Offer(long incarnation, RelayOffered message, long atMilliseconds) {}

    /** Records an offer. Those of processes that have ended are ignored. */
    public void offered(RouterIdentity gateway, RelayOffered offer, long nowMilliseconds) {
        Offer known = mOffers.get(gateway.vm());
        if (known == null || known.incarnation() <= gateway.incarnation()) {
            mOffers.put(gateway.vm(), new Offer(gateway.incarnation(), offer, nowMilliseconds));
        }
    }

    /** Drops all offers. */
    public void clear() {
        mOffers.clear();
        mListed = List.of();
    }

    /** Returns the gateways that open connections for others, if they have changed. */
    public Optional<List<Relay>> changedRelays(long nowMilliseconds) {
        mOffers.values()
                .removeIf(
                        offer ->
                                nowMilliseconds - offer.atMilliseconds()
                                        > OFFER_VALID_MILLISECONDS);
        List<Relay> relays =
                mOffers.values().stream()
                        .map(Offer::message)
                        .filter(RelayOffered::isOpen)
                        .map(RelayOffered::relay)
                        .sorted(ORDER)
                        .toList();
        if (relays.equals(mListed)) {
            return Optional.empty();
        }
        mListed = relays;
        return Optional.of(relays);
    }
}
