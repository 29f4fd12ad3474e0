package org.skylarkbend.wire;

/** Estimates of the heap that decoded parts of a request take until its response is sent. */
final class DecodedHeap {
    /** Heap of a request without headers, of its response and of their state in the server. */
    static final long REQUEST_BYTES = 2_000;

    /**
     * Heap of a header beside its characters: 250 bytes for the entry, its name and its value in
     * the request, and 100 for the copy that is forwarded.
     */
    static final long HEADER_BYTES = 350;

    /** Heap for each byte of a line, in the request and in the copy that is forwarded. */
    private static final long COPIES = 2;

    private DecodedHeap() {}

    /** Returns the heap of the characters that are decoded from a number of bytes. */
    static long ofCharacters(int bytes) {
        return COPIES * bytes;
    }
}
