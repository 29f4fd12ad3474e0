package org.skylarkbend.router.forward;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.router.ChatCall;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;

/** Buffers one call's response up to a maximum size and counts its streamed events. */
final class ResponseBuffer {
    private final long mMaxBytes;
    private final List<SseEvent> mEvents = new ArrayList<>();
    private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private long mBufferedEventBytes;
    private long mDeliveredEvents;

    ResponseBuffer(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Discards the body received by an earlier attempt. */
    void startAttempt() {
        mBody = new ByteArrayOutputStream();
    }

    /** Appends a part of the body. Returns false if the maximum size is exceeded. */
    boolean appendChunk(byte[] chunk) {
        mBody.writeBytes(chunk);
        return mBody.size() <= mMaxBytes;
    }

    /** Buffers an event to be joined later. Returns false if the maximum size is exceeded. */
    boolean appendEvent(SseEvent event) {
        mEvents.add(event);
        mBufferedEventBytes += event.data().length();
        return mBufferedEventBytes <= mMaxBytes;
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
