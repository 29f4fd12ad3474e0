package org.skylarkbend.base;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongConsumer;

/**
 * Account of the bytes that a task holds over all its requests, connections and peers, with a
 * limit.
 *
 * <p>The account does not allocate anything: its user takes bytes before it keeps them, refuses
 * work or stops reading when it gets none, and releases them when it keeps them no longer. It is
 * confined to one task.
 */
public final class ByteBudget {
    private static final StructuredLog LOG = StructuredLog.of(ByteBudget.class);

    /** The log reports that there is room again below this part of the limit. */
    private static final double FREE_SHARE = 0.75;

    private final String mName;
    private final long mLimitBytes;
    private final Counter mUsed;
    private final Counter mRefused;
    private Runnable mOnRelease = () -> {};
    private LongConsumer mReclaim = bytes -> {};
    private boolean mReclaiming;
    private long mUsedBytes;
    private boolean mFull;

    /**
     * Creates an account of which nothing is used.
     *
     * @param name name of what is held, for logs and metrics
     * @param limitBytes maximum number of bytes
     * @param metrics registry of the metrics {@code NAME_bytes} and {@code NAME_bytes_refused}
     */
    public ByteBudget(String name, long limitBytes, MetricRegistry metrics) {
        mName = name;
        mLimitBytes = limitBytes;
        mUsed = metrics.counter(name + "_bytes");
        mRefused = metrics.counter(name + "_bytes_refused");
    }

    /** Sets what runs after each release, for work that waits for room. */
    public void onRelease(Runnable handler) {
        mOnRelease = handler;
    }

    /**
     * Sets what is asked to release a number of bytes when they are missing. It may release fewer
     * or none.
     */
    public void onFull(LongConsumer reclaim) {
        mReclaim = reclaim;
    }

    /** Takes bytes if the limit allows it, and returns whether it does. */
    public boolean tryTake(long bytes) {
        reclaimMissing(bytes);
        if (mUsedBytes + bytes > mLimitBytes) {
            mRefused.inc(bytes);
            reportFull(bytes);
            return false;
        }
        mUsedBytes += bytes;
        mUsed.inc(bytes);
        return true;
    }

    /** Gives back bytes that were taken. */
    public void release(long bytes) {
        mUsedBytes -= bytes;
        mUsed.dec(bytes);
        if (mFull && mUsedBytes <= mLimitBytes * FREE_SHARE) {
            mFull = false;
            LOG.info("memory.free", "of", mName, "used_bytes", mUsedBytes);
        }
        mOnRelease.run();
    }

    /** Returns the number of bytes in use. */
    public long usedBytes() {
        return mUsedBytes;
    }

    /** Returns the maximum number of bytes. */
    public long limitBytes() {
        return mLimitBytes;
    }

    private void reclaimMissing(long wantedBytes) {
        long missingBytes = mUsedBytes + wantedBytes - mLimitBytes;
        if (missingBytes > 0 && !mReclaiming && wantedBytes <= mLimitBytes) {
            mReclaiming = true;
            try {
                mReclaim.accept(missingBytes);
            } finally {
                mReclaiming = false;
            }
        }
    }

    private void reportFull(long wantedBytes) {
        if (!mFull) {
            mFull = true;
            LOG.warn(
                    "memory.full",
                    "of",
                    mName,
                    "used_bytes",
                    mUsedBytes,
                    "limit_bytes",
                    mLimitBytes,
                    "wanted_bytes",
                    wantedBytes);
        }
    }
}
