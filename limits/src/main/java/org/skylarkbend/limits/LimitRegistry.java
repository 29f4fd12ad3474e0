package org.skylarkbend.limits;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The router incarnations that may hold tokens: the only replicated state of the rate limits.
 *
 * <p>An incarnation is registered in the log before its first grant, and unregistered once it can
 * no longer hold tokens. A new owner therefore knows every incarnation whose holdings it must
 * count.
 */
public record LimitRegistry(Set<RouterIdentity> routers) {
    /** Copies the set and keeps its order. */
    public LimitRegistry {
        routers = Collections.unmodifiableSet(new LinkedHashSet<>(routers));
    }

    /** Returns a registry without incarnations. */
    public static LimitRegistry empty() {
        return new LimitRegistry(Set.of());
    }

    /** Returns a copy of this registry that contains the incarnation. */
    public LimitRegistry register(RouterIdentity router) {
        Set<RouterIdentity> changed = new LinkedHashSet<>(routers);
        changed.add(router);
        return new LimitRegistry(changed);
    }

    /** Returns a copy of this registry without the incarnation. */
    public LimitRegistry unregister(RouterIdentity router) {
        Set<RouterIdentity> changed = new LinkedHashSet<>(routers);
        changed.remove(router);
        return new LimitRegistry(changed);
    }
}
