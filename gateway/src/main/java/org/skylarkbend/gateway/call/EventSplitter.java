package org.skylarkbend.gateway.call;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are
 * forwarded, and keeps the ID of the last complete event.
 */
final class EventSplitter {
    private static final byte LINE_END = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";

    private Buffer mPending = Buffer.buffer();
    private int mScannedBytes;
    private int mLineStart;
    private boolean mPendingField;
    private boolean mHasNewEvent;
    private Optional<String> mPendingId = Optional.empty();
    private Optional<String> mLastEventId = Optional.empty();

    /**
     * Appends a chunk and returns the complete events that are now available. The result may be
     * empty.
     */
    Buffer feed(Buffer chunk) {
        mPending.appendBuffer(chunk);
        mHasNewEvent = false;
        int end = 0;
        for (int i = mScannedBytes; i < mPending.length(); i++) {
            if (mPending.getByte(i) == LINE_END) {
                String line = line(mLineStart, i);
                if (line.isEmpty()) {
                    end = i + 1;
                    mHasNewEvent |= mPendingField;
                    mPendingField = false;
                } else {
                    mPendingField |= !line.startsWith(COMMENT);
                }
                if (line.startsWith(ID_FIELD)) {
                    mPendingId = Optional.of(line.substring(ID_FIELD.length()).trim());
                }
                if (line.isEmpty() && mPendingId.isPresent()) {
                    mLastEventId = mPendingId;
                    mPendingId = Optional.empty();
                }
                mLineStart = i + 1;
            }
        }
        mScannedBytes = mPending.length();
        return end == 0 ? Buffer.buffer() : removeFirst(end);
    }

    private Buffer removeFirst(int bytes) {
        Buffer first = mPending.getBuffer(0, bytes);
        mPending = mPending.getBuffer(bytes, mPending.length());
        mScannedBytes -= bytes;
        mLineStart -= bytes;
        return first;
    }

    /**
     * Returns whether the last chunk completed an event that has a field. Comments and blank lines
     * are passed on, but an endpoint that sends nothing else makes no progress.
     */
    boolean hasNewEvent() {
        return mHasNewEvent;
    }

    /** Returns whether the buffer holds part of an event. */
    boolean hasPartial() {
        return mPending.length() > 0;
    }

    /** Returns the number of bytes kept of an incomplete event. */
    int pendingBytes() {
        return mPending.length();
    }

    /**
     * Discards an incomplete event. The connection that sent it has ended, so the rest will not
     * arrive.
     */
    void discardPartial() {
        mPending = Buffer.buffer();
        mScannedBytes = 0;
        mLineStart = 0;
        mPendingField = false;
        mPendingId = Optional.empty();
    }

    /** Returns the ID of the last complete event. */
    Optional<String> lastEventId() {
        return mLastEventId;
    }

    private String line(int start, int end) {
        boolean hasReturn = end > start && mPending.getByte(end - 1) == CARRIAGE_RETURN;
        return mPending.getString(start, hasReturn ? end - 1 : end, StandardCharsets.UTF_8.name());
    }
}
