package org.skylarkbend.control.relays;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.limits.RouterIdentity;

/** Collects the offers of gateways to open connections to endpoints. Confined to one task. */
public final class RelayDecider {
    /** A gateway without an offer for this long is dropped; gateways repeat theirs each second. */
    static final long OFFER_VALID_MILLISECONDS = 3_000;

    private static final Comparator<Relay> ORDER =
            Comparator.comparing(Relay::host).thenComparing(Relay::port);

    private final Map<ObjectName, Offer> mOffers = new LinkedHashMap<>();
    private RelaysListed mListed = new RelaysListed(List.of(), 0);

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
        mListed = new RelaysListed(List.of(), 0);
    }

    /** Returns the gateways and those that open connections for others, if they have changed. */
    public Optional<RelaysListed> changedRelays(long nowMilliseconds) {
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
        RelaysListed listed = new RelaysListed(relays, mOffers.size());
        if (listed.equals(mListed)) {
            return Optional.empty();
        }
        mListed = listed;
        return Optional.of(listed);
    }
}
