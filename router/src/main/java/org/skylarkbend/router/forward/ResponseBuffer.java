package org.skylarkbend.router.forward;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.router.ChatCall;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;

/**
 * Buffers one call's response up to a maximum size, within the memory for the responses of all
 * calls, and counts its streamed events.
 */
final class ResponseBuffer {
    /** The part of the memory that the response of one call may take. */
    private static final int PARTS_OF_A_CALL = 4;

    private final long mMaxBytes;
    private final ByteBudget mMemory;
    private final List<SseEvent> mEvents = new ArrayList<>();
    private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private long mBufferedEventBytes;
    private long mDeliveredEvents;

    ResponseBuffer(long maxBytes, ByteBudget memory) {
        mMaxBytes = Math.min(maxBytes, memory.limitBytes() / PARTS_OF_A_CALL);
        mMemory = memory;
    }

    /** Discards the body received by an earlier attempt. */
    void startAttempt() {
        mMemory.release(mBody.size());
        mBody = new ByteArrayOutputStream();
    }

    /** Appends a part of the body. Returns false if it is too large or there is no memory. */
    boolean appendChunk(byte[] chunk) {
        if (mBody.size() + chunk.length > mMaxBytes || !mMemory.tryTake(chunk.length)) {
            return false;
        }
        mBody.writeBytes(chunk);
        return true;
    }

    /** Releases the memory at the end of the call. */
    void release() {
        startAttempt();
        mMemory.release(mBufferedEventBytes);
        mBufferedEventBytes = 0;
        mEvents.clear();
    }

    /**
     * Buffers an event to be joined later. Returns false if the response is too large or there is
     * no memory.
     */
    boolean appendEvent(SseEvent event) {
        int bytes = event.data().length();
        if (mBufferedEventBytes + bytes > mMaxBytes || !mMemory.tryTake(bytes)) {
            return false;
        }
        mEvents.add(event);
        mBufferedEventBytes += bytes;
        return true;
    }

    /** Counts an event. Returns true if it is the first one of the response. */
    boolean countEvent() {
        return mDeliveredEvents++ == 0;
    }

    int bodyBytes() {
        return mBody.size();
    }

    byte[] body() {
        return mBody.toByteArray();
    }

    /** Joins the buffered events into a non-streaming response body. */
    byte[] joinedEvents() {
        return EngineEventCodec.join(mEvents);
    }

    /** Estimates the token usage of a response whose final event has not been received. */
    Optional<TokenUsage> usageSoFar(ChatCall chat) {
        return mDeliveredEvents > 0
                ? Optional.of(new TokenUsage(chat.promptTokens(), 0, mDeliveredEvents))
                : EngineEventCodec.usageIn(body());
    }
}
