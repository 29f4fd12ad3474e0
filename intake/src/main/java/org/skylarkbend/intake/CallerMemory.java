package org.skylarkbend.intake;

import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.ReceiveMemory;

/**
 * Memory that requests of callers take: their decoded lines until they have their responses, their
 * bodies, and the bytes on their connections that are not decoded yet.
 *
 * <p>When the memory is used up, incomplete requests that make no progress lose theirs, the oldest
 * first, so that callers who leave requests incomplete keep no others out. Confined to the task
 * that owns the budgets.
 */
public final class CallerMemory {
    /** Memory for lines is taken in multiples of this size; a usual head takes one or two. */
    private static final long STEP_BYTES = 4 * 1024;

    /** Time after which an incomplete head counts as stalled; sound ones arrive at once. */
    private static final long STALLED_HEAD_MILLISECONDS = 250;

    private static final StructuredLog LOG = StructuredLog.of(CallerMemory.class);

    private final ByteBudget mHeadMemory;
    private final ByteBudget mBodyMemory;
    private final ByteBudget mUndecodedMemory;
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
     * @param budgets accounts of the memory
     * @param clock monotonic clock
     */
    public CallerMemory(CallerBudgets budgets, MillisecondClock clock) {
        mHeadMemory = budgets.heads();
        mBodyMemory = budgets.bodies();
        mUndecodedMemory = budgets.undecoded();
        mClock = clock;
        List<Set<Holder>> all = List.of(mHeads, mBodies);
        mHeadMemory.onFull(bytes -> reclaim(mHeadMemory, all, bytes));
        mUndecodedMemory.onFull(bytes -> reclaim(mUndecodedMemory, all, bytes));
        mBodyMemory.onFull(bytes -> reclaim(mBodyMemory, List.of(mBodies), bytes));
    }

    /** Returns the account of the bodies. */
    public ByteBudget bodies() {
        return mBodyMemory;
    }

    /** Sets what closes the connection of a request and releases its memory. */
    void onAbort(Consumer<HttpServerRequest> abort) {
        mAbort = abort;
    }

    /** Closes the connection of a request, whose memory is free at once. */
    void abort(HttpServerRequest request) {
        mAbort.accept(request);
    }

    /** Adds a request whose body is incomplete. */
    void addBody(Holder holder) {
        mBodies.add(holder);
    }

    /** Removes a request whose body is complete or has ended. */
    void removeBody(Holder holder) {
        mBodies.remove(holder);
    }

    /**
     * Returns the memory of a new connection.
     *
     * @param close closes the connection at once
     */
    ReceiveMemory newConnection(Runnable close) {
        return new Connection(close);
    }

    /** Gives up the oldest incomplete request that is stalled. Returns false if there is none. */
    boolean giveUpStalled() {
        long nowMilliseconds = mClock.nowMilliseconds();
        Optional<Holder> stalled =
                Stream.concat(mHeads.stream(), mBodies.stream())
                        .filter(holder -> holder.isStalled(nowMilliseconds))
                        .findFirst();
        stalled.ifPresent(Holder::giveUp);
        return stalled.isPresent();
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

    /** Memory of a connection, which may lose it while a head is incomplete. */
    private final class Connection implements ReceiveMemory, Holder {
        private final Runnable mClose;
        private long mRequestBytes;
        private long mTakenBytes;
        private long mUndecodedBytes;
        private long mBeganMilliseconds;
        private boolean mEnded;

        Connection(Runnable close) {
            mClose = close;
        }

        @Override
        public void headBegun() {
            mBeganMilliseconds = mClock.nowMilliseconds();
            mHeads.add(this);
        }

        @Override
        public void headComplete() {
            mHeads.remove(this);
        }

        @Override
        public boolean take(long bytes) {
            mRequestBytes += bytes;
            long missingBytes = mRequestBytes - mTakenBytes;
            if (missingBytes <= 0) {
                return true;
            }
            long moreBytes = (missingBytes + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES;
            if (!takeFrom(mHeadMemory, moreBytes)) {
                return false;
            }
            mTakenBytes += moreBytes;
            return true;
        }

        /** Takes bytes, unless the connection itself was given up to make room for them. */
        private boolean takeFrom(ByteBudget memory, long bytes) {
            boolean taken = !mEnded && memory.tryTake(bytes);
            if (taken && mEnded) {
                memory.release(bytes);
            }
            return taken && !mEnded;
        }

        @Override
        public void releaseRequest() {
            long takenBytes = mTakenBytes;
            mTakenBytes = 0;
            mRequestBytes = 0;
            if (takenBytes > 0) {
                mHeadMemory.release(takenBytes);
            }
        }

        @Override
        public boolean holdUndecoded(long bytes) {
            long moreBytes = bytes - mUndecodedBytes;
            if (moreBytes > 0 && !takeFrom(mUndecodedMemory, moreBytes)) {
                releaseUndecoded(mUndecodedBytes);
                return false;
            }
            if (moreBytes > 0) {
                mUndecodedBytes = bytes;
            } else {
                releaseUndecoded(-moreBytes);
            }
            return true;
        }

        private void releaseUndecoded(long bytes) {
            if (bytes > 0) {
                mUndecodedBytes -= bytes;
                mUndecodedMemory.release(bytes);
            }
        }

        @Override
        public void releaseAll() {
            mEnded = true;
            mHeads.remove(this);
            releaseRequest();
            releaseUndecoded(mUndecodedBytes);
        }

        @Override
        public boolean isStalled(long nowMilliseconds) {
            return nowMilliseconds - mBeganMilliseconds >= STALLED_HEAD_MILLISECONDS;
        }

        @Override
        public void giveUp() {
            releaseAll();
            mClose.run();
        }
    }
}
