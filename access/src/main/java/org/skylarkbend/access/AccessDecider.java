package org.skylarkbend.access;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.publishing.CallerKey;
import org.skylarkbend.publishing.EndpointKind;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Route;

/**
 * Determines the route and the customer of a call from one published set.
 *
 * <p>A new decider is created for each set, so a withdrawn key is refused from the first call after
 * the set comes into force. Digests are looked up in a hash table without constant-time comparison.
 * This is safe because a caller cannot choose the digest of a guessed key, so lookup times reveal
 * nothing useful about the stored digests.
 */
public final class AccessDecider {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparing((Route route) -> -route.pathPrefix().orElse("").length());

    private final PublishedSet mSet;
    private final Map<String, CallerKey> mKeysByDigest = new HashMap<>();
    private final List<Route> mServiceRoutes;

    /** Creates a decider for a published set. */
    public AccessDecider(PublishedSet set) {
        mSet = set;
        set.keys().values().forEach(key -> mKeysByDigest.put(key.digestSha256(), key));
        mServiceRoutes =
                set.routes().values().stream()
                        .filter(route -> route.kind() == EndpointKind.SERVICE)
                        .sorted(LONGEST_PREFIX_FIRST)
                        .toList();
    }

    /**
     * Grants a call the use of its route, or fails with {@code KEY_REFUSED}, {@code ROUTE_UNKNOWN}
     * or {@code ROUTE_FORBIDDEN}.
     */
    public Result<AccessGrant> decide(AccessRequest request) {
        Optional<CallerKey> key = request.keyDigest().map(mKeysByDigest::get);
        Optional<Route> route = routeOf(request);
        if (route.isPresent() && route.get().keyless()) {
            return Result.success(grant(route.get(), key));
        }
        if (key.isEmpty()) {
            return Result.failure(ErrorKind.KEY_REFUSED, "a valid key is required as bearer token");
        }
        if (route.isEmpty()) {
            return Result.failure(ErrorKind.ROUTE_UNKNOWN, "no route matches this model or path");
        }
        if (!allows(route.get(), key.get().customer())) {
            String detail = "route " + route.get().name() + " is not available to this customer";
            return Result.failure(ErrorKind.ROUTE_FORBIDDEN, detail);
        }
        return Result.success(grant(route.get(), key));
    }

    /** Returns whether a grant from an earlier set is still valid under this set. */
    public boolean isStillValid(AccessGrant grant) {
        Route route = mSet.routes().get(grant.route().name());
        if (route == null) {
            return false;
        }
        if (route.keyless()) {
            return true;
        }
        return grant.key()
                .map(key -> mKeysByDigest.get(key.digestSha256()))
                .filter(key -> key.customer().equals(grant.key().get().customer()))
                .map(key -> allows(route, key.customer()))
                .orElse(false);
    }

    private Optional<Route> routeOf(AccessRequest request) {
        if (request.model().isPresent()) {
            return request.model()
                    .filter(ObjectName::isValid)
                    .map(model -> mSet.routes().get(ObjectName.of(model)))
                    .filter(route -> route.kind() == EndpointKind.ENGINE);
        }
        return mServiceRoutes.stream()
                .filter(route -> matchesPrefix(route.pathPrefix().orElseThrow(), request.path()))
                .findFirst();
    }

    private AccessGrant grant(Route route, Optional<CallerKey> key) {
        return new AccessGrant(route, key, key.map(k -> mSet.customers().get(k.customer())));
    }

    private static boolean allows(Route route, ObjectName customer) {
        return route.customers().isEmpty() || route.customers().contains(customer);
    }

    private static boolean matchesPrefix(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length()
                        || prefix.endsWith("/")
                        || path.charAt(prefix.length()) == '/');
    }
}
