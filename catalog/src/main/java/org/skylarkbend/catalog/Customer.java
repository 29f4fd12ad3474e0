package org.skylarkbend.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * Whose calls are served.
 *
 * @param name its name
 * @param keyDigests the SHA-256 digests of its keys, in hexadecimal
 * @param priority its rank, which goes before that of the route
 * @param isolated whether it shares no cached prompt with others
 * @param unitsPerSecond its rate, in tokens or calls; 0 is no limit
 * @param burstUnits what it may use at once beyond its rate
 * @param unitsOfPlainCall what a call counts that names no tokens
 */
public record Customer(
        String name,
        List<String> keyDigests,
        OptionalInt priority,
        boolean isolated,
        long unitsPerSecond,
        long burstUnits,
        long unitsOfPlainCall) {
    /** Copies the list. */
    public Customer {
        keyDigests = List.copyOf(keyDigests);
    }

    /** Whether it has a limit. */
    public boolean isLimited() {
        return unitsPerSecond > 0;
    }
}
