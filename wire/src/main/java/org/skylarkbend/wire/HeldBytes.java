package org.skylarkbend.wire;

import io.vertx.core.buffer.Buffer;
import org.skylarkbend.base.ByteBudget;

/**
 * Body that is received in chunks and counts against a budget until it is released. It is confined
 * to the task that owns the budget.
 */
public final class HeldBytes {
    private final ByteBudget mBudget;
    private Buffer mContent = Buffer.buffer();
    private long mTakenBytes;
    private boolean mReleased;

    /** Creates an empty body. */
    public HeldBytes(ByteBudget budget) {
        mBudget = budget;
    }

    /** Takes room for a body whose size is known, and returns whether there is any. */
    public boolean reserve(long bytes) {
        long missingBytes = bytes - mTakenBytes;
        if (mReleased || missingBytes > 0 && !mBudget.tryTake(missingBytes)) {
            return false;
        }
        mTakenBytes = Math.max(mTakenBytes, bytes);
        return true;
    }

    /** Appends a chunk. Returns false, and keeps nothing of it, if the budget has no room. */
    public boolean append(Buffer chunk) {
        if (!reserve((long) mContent.length() + chunk.length())) {
            return false;
        }
        mContent.appendBuffer(chunk);
        return true;
    }

    /** Returns the number of bytes that were received and not released. */
    public int lengthBytes() {
        return mReleased ? 0 : mContent.length();
    }

    /** Returns what was received, or nothing after the release. */
    public Buffer content() {
        return mContent;
    }

    /** Releases the bytes. Further calls have no effect. */
    public void release() {
        if (!mReleased) {
            mReleased = true;
            mContent = Buffer.buffer();
            mBudget.release(mTakenBytes);
        }
    }
}
