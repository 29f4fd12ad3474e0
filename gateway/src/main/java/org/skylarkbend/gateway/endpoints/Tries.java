package org.skylarkbend.gateway.endpoints;

import java.util.Set;

/**
 * The tries of a call up to now.
 *
 * @param incarnations the endpoints that were tried
 * @param isLast whether the next try is the last
 */
public record Tries(Set<String> incarnations, boolean isLast) {
    /** Copies the set. */
    public Tries {
        incarnations = Set.copyOf(incarnations);
    }

    /** No try yet, and more than one to come. */
    static Tries none() {
        return new Tries(Set.of(), false);
    }
}
