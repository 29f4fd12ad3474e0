package org.skylarkbend.wire;

/**
 * Memory of one connection for what its peer has sent: the lines of a request's head and trailer
 * section, and the bytes that are not decoded yet. It is taken before lines are decoded, and
 * confined to the task that owns the connection.
 */
public interface ReceiveMemory {
    /** Records that the first bytes of a head have arrived. */
    void headBegun();

    /** Records that a head is complete. */
    void headComplete();

    /**
     * Takes memory for a decoded part of the current request. Returns false if there is none, after
     * which the connection is closed.
     *
     * @param bytes heap that the decoded part takes
     */
    boolean take(long bytes);

    /** Releases the memory of a request that has its response. */
    void releaseRequest();

    /**
     * Changes the memory for bytes that are not decoded. Returns false, and releases all of it, if
     * there is not enough.
     *
     * @param bytes size of their buffers
     */
    boolean holdUndecoded(long bytes);

    /** Releases all memory, because the connection is closed. */
    void releaseAll();

    /** Returns memory without a limit. */
    static ReceiveMemory unlimited() {
        return new ReceiveMemory() {
            @Override
            public void headBegun() {}

            @Override
            public void headComplete() {}

            @Override
            public boolean take(long bytes) {
                return true;
            }

            @Override
            public void releaseRequest() {}

            @Override
            public boolean holdUndecoded(long bytes) {
                return true;
            }

            @Override
            public void releaseAll() {}
        };
    }
}
