package org.skylarkbend.gateway.endpoints;

import java.util.Optional;

/**
 * Store of cached prompt parts that accepted a connection.
 *
 * @param address the address of the store; empty if none is reachable
 * @param reachedMilliseconds the time at which it accepted the last connection
 */
public record ReachedStore(Optional<String> address, long reachedMilliseconds) {
    /**
     * Time after which the store may have become unreachable unnoticed, for example during a pause
     * of this process. It has room for a check that is late and for its timeout.
     */
    private static final long VALID_MILLISECONDS = 5_000;

    /** Returns the state without a reachable store. */
    public static ReachedStore none() {
        return new ReachedStore(Optional.empty(), 0);
    }

    /** Returns the address to send to engines at a time. */
    Optional<String> addressAt(long nowMilliseconds) {
        return nowMilliseconds - reachedMilliseconds <= VALID_MILLISECONDS
                ? address
                : Optional.empty();
    }
}
