package org.skylarkbend.catalog;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body
 * @param headerMilliseconds how long a caller may take to send a head
 * @param idleMilliseconds how long a connection may stay idle
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerMilliseconds, long idleMilliseconds) {
    /** The limits before a catalog is known: 16 KiB, 4 MiB, 3 s, 15 s. */
    public static CallerLimits defaults() {
        return new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
    }
}
