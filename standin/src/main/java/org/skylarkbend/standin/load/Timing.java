package org.skylarkbend.standin.load;

/** The time from the start of a request to the first byte and to the end of the response body. */
record Timing(long firstByteMicroseconds, long endMicroseconds) {
    /** A direct request and the routed request that followed it. */
    record Pair(Timing direct, Timing routed) {}

    Pair pairWith(Timing routed) {
        return new Pair(this, routed);
    }
}
