package org.skylarkbend.router.link;

import org.skylarkbend.access.AccessDecider;
import org.skylarkbend.publishing.PublishedRevision;

/**
 * The published set, access rules and lease under which the router currently serves calls.
 *
 * @param published the published set in force at this router
 * @param access decides on access according to that set
 * @param leaseUntilMilliseconds the expiry of the serving lease for routes that require an API key,
 *     on the monotonic clock
 */
public record ServingView(
        PublishedRevision published, AccessDecider access, long leaseUntilMilliseconds) {
    /** Returns the initial view, without routes or a lease, used until control has sent a set. */
    public static ServingView none() {
        PublishedRevision none = PublishedRevision.none();
        return new ServingView(none, new AccessDecider(none.set()), Long.MIN_VALUE);
    }

    /**
     * Returns whether routes that require an API key may be served now. Must be checked at each
     * admission, because the lease can expire while the process is suspended.
     */
    public boolean mayServeKeyedAt(long nowMilliseconds) {
        return published.revision() > 0 && nowMilliseconds < leaseUntilMilliseconds;
    }
}
