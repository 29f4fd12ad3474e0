package org.skylarkbend.catalog;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes maximum size of the request line and headers
 * @param bodyBytes maximum size of the request body
 * @param headerMilliseconds timeout for receiving the request line and headers
 * @param idleMilliseconds timeout of an idle connection
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerMilliseconds, long idleMilliseconds) {
    /** Returns the limits that apply until a catalog is known: 16 KiB, 4 MiB, 3 s and 15 s. */
    public static CallerLimits defaults() {
        return new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
    }
}
