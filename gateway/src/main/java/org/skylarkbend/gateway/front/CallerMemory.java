package org.skylarkbend.gateway.front;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.RequestDecoder;

/**
 * Memory that requests of callers take while they arrive.
 *
 * <p>When the memory is used up, incomplete requests that make no progress lose theirs, the oldest
 * first, so that callers who leave requests incomplete keep no others out. Confined to the task
 * that owns the budget.
 */
final class CallerMemory {
    /**
     * Heap that a decoded header takes beside its characters: 250 bytes for the entry, its name and
     * its value in the request, and 100 for the copy that is forwarded.
     */
    private static final long HEADER_BYTES = 350;

    /** Heap for each character of a header, in the request and in the copy that is forwarded. */
    private static final long COPIES = 2;

    /** A head that is decoded may consist of lines of 4 bytes. */
    private static final long INCOMPLETE_HEAD_FACTOR = HEADER_BYTES / 4;

    /** Time after which an incomplete head counts as stalled; sound ones arrive at once. */
    private static final long STALLED_HEAD_MILLISECONDS = 250;

    private static final StructuredLog LOG = StructuredLog.of(CallerMemory.class);

    private final ByteBudget mHeadMemory;
    private final MillisecondClock mClock;
    private final Set<Holder> mHeads = new LinkedHashSet<>();
    private final Set<Holder> mBodies = new LinkedHashSet<>();
    private Consumer<HttpServerRequest> mAbort = request -> {};

    /** Incomplete request that holds memory. */
    interface Holder {
        /** Returns whether so little of the request arrives that it may lose its memory. */
        boolean isStalled(long nowMilliseconds);

        /** Ends the request and releases its memory. */
        void giveUp();
    }

    /**
     * Creates the memory without requests.
     *
     * @param heads memory for the heads of requests until they have their responses
     * @param bodies memory for the bodies of requests
     * @param clock monotonic clock
     */
    CallerMemory(ByteBudget heads, ByteBudget bodies, MillisecondClock clock) {
        mHeadMemory = heads;
        mClock = clock;
        heads.onFull(bytes -> reclaim(heads, List.of(mHeads, mBodies), bytes));
        bodies.onFull(bytes -> reclaim(bodies, List.of(mBodies), bytes));
    }

    /** Sets what closes the connection of a request and releases the memory of its heads. */
    void onAbort(Consumer<HttpServerRequest> abort) {
        mAbort = abort;
    }

    /** Closes the connection of a request, whose memory is free at once. */
    void abort(HttpServerRequest request) {
        mAbort.accept(request);
    }

    /** Returns the heap that the headers of a request take until its response is sent. */
    static long bytesOf(MultiMap headers) {
        long bytes = 0;
        for (Map.Entry<String, String> header : headers) {
            bytes +=
                    HEADER_BYTES + COPIES * (header.getKey().length() + header.getValue().length());
        }
        return bytes;
    }

    /** Adds a request whose body is incomplete. */
    void addBody(Holder holder) {
        mBodies.add(holder);
    }

    /** Removes a request whose body is complete or has ended. */
    void removeBody(Holder holder) {
        mBodies.remove(holder);
    }

    /** Returns the memory of the incomplete heads on a new connection. */
    RequestDecoder.HeadMemory newHead() {
        return new Head();
    }

    /** Takes memory for the head of a request, and returns whether there is any. */
    boolean takeHead(long bytes) {
        return mHeadMemory.tryTake(bytes);
    }

    /** Releases the memory of the head of a request. */
    void releaseHead(long bytes) {
        mHeadMemory.release(bytes);
    }

    private void reclaim(ByteBudget memory, List<Set<Holder>> holders, long missingBytes) {
        long nowMilliseconds = mClock.nowMilliseconds();
        long enoughBytes = memory.usedBytes() - missingBytes;
        int givenUp = 0;
        for (Holder holder : holders.stream().flatMap(Set::stream).toList()) {
            if (memory.usedBytes() <= enoughBytes) {
                break;
            }
            if (holder.isStalled(nowMilliseconds)) {
                holder.giveUp();
                givenUp++;
            }
        }
        if (givenUp > 0) {
            LOG.warn("requests.given_up", "requests", givenUp, "missing_bytes", missingBytes);
        }
    }

    /** Incomplete head on a connection. */
    private final class Head implements RequestDecoder.HeadMemory, Holder {
        private long mHeldBytes;
        private long mBeganMilliseconds;
        private Runnable mClose = () -> {};

        @Override
        public boolean hold(long bytes, Runnable close) {
            if (mHeldBytes == 0) {
                mBeganMilliseconds = mClock.nowMilliseconds();
                mClose = close;
                mHeads.add(this);
            }
            long moreBytes = bytes * INCOMPLETE_HEAD_FACTOR - mHeldBytes;
            if (moreBytes > 0 && !mHeadMemory.tryTake(moreBytes)) {
                release();
                return false;
            }
            mHeldBytes += Math.max(0, moreBytes);
            return true;
        }

        @Override
        public void release() {
            mHeads.remove(this);
            if (mHeldBytes > 0) {
                long heldBytes = mHeldBytes;
                mHeldBytes = 0;
                mHeadMemory.release(heldBytes);
            }
        }

        @Override
        public boolean isStalled(long nowMilliseconds) {
            return nowMilliseconds - mBeganMilliseconds >= STALLED_HEAD_MILLISECONDS;
        }

        @Override
        public void giveUp() {
            release();
            mClose.run();
        }
    }
}
