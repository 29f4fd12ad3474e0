package org.skylarkbend.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * Customer of a site with its keys, priority and rate limit.
 *
 * @param name name of the customer
 * @param keyDigests SHA-256 digests of its keys, in hexadecimal
 * @param priority priority of its calls, which overrides that of the route
 * @param isolated true if it shares no cached prompt parts with others
 * @param unitsPerSecond rate limit in tokens or calls per second; 0 means no limit
 * @param burstUnits burst size that may be used at once beyond the rate
 * @param defaultUnitsPerCall units used by a call that states no number of tokens
 */
public record Customer(
        String name,
        List<String> keyDigests,
        OptionalInt priority,
        boolean isolated,
        long unitsPerSecond,
        long burstUnits,
        long defaultUnitsPerCall) {
    /** Creates a customer with a copy of {@code keyDigests}. */
    public Customer {
        keyDigests = List.copyOf(keyDigests);
    }

    /** Returns whether the customer has a rate limit. */
    public boolean isLimited() {
        return unitsPerSecond > 0;
    }
}
