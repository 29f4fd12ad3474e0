package org.skylarkbend.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import org.skylarkbend.base.ObjectName;

/**
 * Scope of a cache entry within an engine: a customer, the weights of a version and an adapter.
 *
 * <p>Every key of the {@link PrefixIndex} is derived from a scope, so an entry of another customer
 * or of older weights has a different key and is never matched.
 */
public final class CacheScope {
    private final String mText;
    private final long mHash;

    private CacheScope(String text) {
        mText = text;
        mHash = hashOfText(text);
    }

    /**
     * Returns the scope of a customer's request.
     *
     * @param customer the customer
     * @param weights the weights of the version that serves the request
     * @param adapter the adapter applied to the weights, or an empty string
     */
    public static CacheScope of(ObjectName customer, String weights, String adapter) {
        return new CacheScope(customer + "/" + hexOfVersion(weights, adapter));
    }

    /**
     * Returns the scope of a request without a customer, which no customer has: its text begins
     * with a character that no name begins with.
     */
    public static CacheScope withoutCustomer(String weights, String adapter) {
        return new CacheScope("/" + hexOfVersion(weights, adapter));
    }

    private static String hexOfVersion(String weights, String adapter) {
        return String.format("%016x", hashOfText(weights + '\0' + adapter));
    }

    /** Returns the text that engines receive with a request and include in their cache events. */
    public String text() {
        return mText;
    }

    /** Returns the hash from which the keys of the index are derived. */
    public long hash() {
        return mHash;
    }

    /** Returns the hash of a scope given by its text. */
    public static long hashOfText(String text) {
        return Hashing.xxh3_64().hashBytesToLong(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CacheScope scope && scope.mText.equals(mText);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mHash);
    }

    @Override
    public String toString() {
        return mText;
    }
}
