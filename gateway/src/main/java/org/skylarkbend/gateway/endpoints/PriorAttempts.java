package org.skylarkbend.gateway.endpoints;

import java.util.Set;

/**
 * Previous attempts of a call.
 *
 * @param incarnations incarnations of the endpoints that were tried
 * @param isLast true if the next attempt is the last
 */
public record PriorAttempts(Set<String> incarnations, boolean isLast) {
    /** Creates the record with a copy of {@code incarnations}. */
    public PriorAttempts {
        incarnations = Set.copyOf(incarnations);
    }

    /** Returns the state before the first of several attempts. */
    static PriorAttempts none() {
        return new PriorAttempts(Set.of(), false);
    }
}
