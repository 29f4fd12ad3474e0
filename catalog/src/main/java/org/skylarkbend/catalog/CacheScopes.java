package org.skylarkbend.catalog;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.skylarkbend.base.Sha256;

/**
 * Scopes within which engines may reuse cached prompt parts, under one catalog.
 *
 * <p>An isolated customer has a scope of its own. All other calls share one, which is named after
 * the set of isolated customers. Only calls of customers outside this set are ever made in it, so
 * it holds no part of a customer that the catalog isolates, whichever catalogs were in force before
 * and whichever ones other gateways still use.
 *
 * <p>The result depends on the catalog only. All processes with the same catalog use the same
 * scopes, also after a restart and after any number of catalogs that they have not received.
 */
public final class CacheScopes {
    private static final String SHARED = "shared";
    private static final String OWN_PREFIX = "only-";

    /** Hexadecimal digits of the digest of a set: 128 bits. */
    private static final int DIGEST_LENGTH = 32;

    private final Map<String, String> mOwnByCustomer;
    private final String mShared;

    private CacheScopes(Set<String> isolated) {
        mOwnByCustomer =
                isolated.stream().collect(Collectors.toUnmodifiableMap(n -> n, CacheScopes::own));
        mShared = isolated.isEmpty() ? SHARED : SHARED + "." + digestOf(isolated);
    }

    /** Returns the scopes under a catalog with the given customers. */
    public static CacheScopes of(Collection<Customer> customers) {
        return new CacheScopes(
                customers.stream()
                        .filter(Customer::isolated)
                        .map(Customer::name)
                        .collect(Collectors.toSet()));
    }

    /** Returns the scope of the calls that belong to no isolated customer. */
    public String shared() {
        return mShared;
    }

    /** Returns the number of isolated customers. */
    public int isolatedCount() {
        return mOwnByCustomer.size();
    }

    /**
     * Returns the scope of a call.
     *
     * @param customer customer of the call as it was admitted, maybe under an older catalog. A
     *     customer that is isolated under either catalog gets its own scope.
     */
    public String of(Optional<Customer> customer) {
        if (customer.isEmpty()) {
            return mShared;
        }
        String name = customer.get().name();
        String own = mOwnByCustomer.get(name);
        if (own == null) {
            return customer.get().isolated() ? own(name) : mShared;
        }
        return own;
    }

    private static String own(String name) {
        return OWN_PREFIX + escape(name);
    }

    private static String digestOf(Set<String> names) {
        String list =
                new TreeSet<>(names)
                        .stream().map(CacheScopes::escape).collect(Collectors.joining(","));
        return Sha256.hexOf(list).substring(0, DIGEST_LENGTH);
    }

    /**
     * Returns a name in ASCII without the separators of scopes and lists, different for each name.
     * Plain names are returned unchanged.
     */
    private static String escape(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("-", "%2D");
    }
}
