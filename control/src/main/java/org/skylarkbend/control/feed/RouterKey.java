package org.skylarkbend.control.feed;

import java.util.Comparator;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;

/**
 * Identifies one incarnation of a router. A restarted router gets a new key, so that the lease of
 * its previous incarnation stays tracked until it expires.
 */
record RouterKey(ObjectName vm, long incarnation) implements Comparable<RouterKey> {
    private static final Comparator<RouterKey> ORDER =
            Comparator.comparing(RouterKey::vm).thenComparing(RouterKey::incarnation);

    static RouterKey of(RouterHello hello) {
        return new RouterKey(hello.vm(), hello.incarnation());
    }

    @Override
    public int compareTo(RouterKey other) {
        return ORDER.compare(this, other);
    }
}
