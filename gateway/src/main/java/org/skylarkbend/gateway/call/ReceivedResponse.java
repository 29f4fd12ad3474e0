package org.skylarkbend.gateway.call;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * What an endpoint has sent of its response and the caller has not got yet: a body until it is
 * complete, or the incomplete event at the end of a stream. Confined to the task that serves the
 * calls.
 */
final class ReceivedResponse implements ResponseMemory.Holder {
    /** Maximum size of a response body that is kept until it is complete. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /** Maximum size of an event, and of the chunk that completes it. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final ResponseMemory mMemory;
    private final Runnable mOnGivenUp;
    private final EventSplitter mEvents = new EventSplitter();
    private Buffer mBody = Buffer.buffer();
    private long mHeldBytes;

    /**
     * Creates an empty response.
     *
     * @param memory memory of all responses
     * @param onGivenUp ends the attempt and releases the memory, which other responses need
     */
    ReceivedResponse(ResponseMemory memory, Runnable onGivenUp) {
        mMemory = memory;
        mOnGivenUp = onGivenUp;
    }

    /** Appends a chunk of the body. Returns false if the response is too large. */
    boolean appendToBody(Buffer chunk) {
        long bytes = (long) mBody.length() + chunk.length();
        if (bytes > limitBytes(MAX_BODY_BYTES) || !hold(bytes)) {
            return false;
        }
        mBody.appendBuffer(chunk);
        return true;
    }

    /**
     * Appends a chunk of a stream and returns the events that are complete, which may be none. The
     * result is empty if the response is too large.
     */
    Optional<Buffer> appendToStream(Buffer chunk) {
        long bytes = (long) mEvents.pendingBytes() + chunk.length();
        if (bytes > limitBytes(MAX_EVENT_BYTES) || !hold(bytes)) {
            return Optional.empty();
        }
        Buffer events = mEvents.feed(chunk);
        hold(mEvents.pendingBytes());
        return Optional.of(events);
    }

    /** Returns the body. It counts as held until {@link #discard}. */
    Buffer body() {
        return mBody;
    }

    /** Returns whether the last chunk of the stream completed an event that has a field. */
    boolean hasNewEvent() {
        return mEvents.hasNewEvent();
    }

    /** Returns whether the stream ends in the middle of an event. */
    boolean hasPartialEvent() {
        return mEvents.hasPartial();
    }

    /** Returns the ID of the last complete event of the stream. */
    Optional<String> lastEventId() {
        return mEvents.lastEventId();
    }

    /** Discards all but the ID of the last complete event. */
    void discard() {
        mBody = Buffer.buffer();
        mEvents.discardPartial();
        hold(0);
    }

    @Override
    public long heldBytes() {
        return mHeldBytes;
    }

    @Override
    public void giveUpResponse() {
        mOnGivenUp.run();
        discard();
    }

    private long limitBytes(int ofOneBytes) {
        return Math.min(ofOneBytes, mMemory.maxBytesOfACall());
    }

    private boolean hold(long bytes) {
        boolean hasRoom = mMemory.resize(this, bytes);
        mHeldBytes = hasRoom ? bytes : mHeldBytes;
        return hasRoom;
    }
}
