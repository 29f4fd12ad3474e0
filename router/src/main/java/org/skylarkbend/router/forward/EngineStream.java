package org.skylarkbend.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.forwarding.AttemptId;
import org.skylarkbend.forwarding.StreamDecider;
import org.skylarkbend.forwarding.StreamDecision;
import org.skylarkbend.forwarding.StreamEffect;
import org.skylarkbend.forwarding.StreamMessage;
import org.skylarkbend.forwarding.StreamState;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.SseParser;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;

/**
 * Decodes the bytes of an engine's response stream, passes the events to the stream decider and
 * executes its decisions.
 */
final class EngineStream {
    private final int mMaxEventBytes;
    private final Runnable mOnProgress;
    private final Consumer<SseEvent> mEvents;
    private final Consumer<StreamEffect> mEffects;
    private StreamState mState;
    private SseParser mParser;
    private SseParser mKeptParser;
    private int mConnections;
    private Optional<TokenUsage> mUsage = Optional.empty();

    EngineStream(
            StreamState state,
            int maxEventBytes,
            Runnable onProgress,
            Consumer<SseEvent> events,
            Consumer<StreamEffect> effects) {
        mState = state;
        mMaxEventBytes = maxEventBytes;
        mOnProgress = onProgress;
        mEvents = events;
        mEffects = effects;
        mParser = new SseParser(maxEventBytes);
    }

    /** Starts reading the stream of this attempt from a new connection. */
    void openedConnection(AttemptId attempt) {
        mConnections++;
        mParser = new SseParser(mMaxEventBytes);
        handle(new StreamMessage.Opened(attempt), Optional.empty());
    }

    void bytesReceived(byte[] chunk) {
        mParser.feed(chunk).match(this::handleAll, this::interrupted);
    }

    void interrupted(String cause) {
        handle(new StreamMessage.Interrupted(mState.attempt(), cause), Optional.empty());
    }

    /** Keeps the silent connection for {@link #keptBytesReceived} while another is opened. */
    void keepConnection() {
        mKeptParser = mParser;
    }

    /** Reads from the connection that was kept. */
    void returnToKept() {
        mConnections++;
        mParser = mKeptParser;
    }

    /** Decodes bytes of the connection that was kept. If they hold an event, it goes on. */
    void keptBytesReceived(byte[] chunk, Runnable onGoesOn) {
        mKeptParser
                .feed(chunk)
                .match(
                        events -> {
                            if (!events.isEmpty()) {
                                onGoesOn.run();
                                handleAll(events);
                            }
                        },
                        error -> {});
    }

    void silenceTimedOut(boolean hasResponded, boolean othersOpen) {
        handle(
                new StreamMessage.SilenceTimedOut(mState.attempt(), hasResponded, othersOpen),
                Optional.empty());
    }

    void resumeRefused(String cause, boolean othersOpen) {
        handle(
                new StreamMessage.ResumeRefused(mState.attempt(), cause, othersOpen),
                Optional.empty());
    }

    /** Returns the token usage if the final event has been received. */
    Optional<TokenUsage> usage() {
        return mUsage;
    }

    private void interrupted(SkylarkError error) {
        interrupted(error.detail());
    }

    private void handleAll(List<SseEvent> events) {
        if (!events.isEmpty()) {
            mOnProgress.run();
        }
        int connection = mConnections;
        for (SseEvent event : events) {
            if (connection != mConnections || mState.closed()) {
                return;
            }
            handleEvent(event);
        }
    }

    private void handleEvent(SseEvent event) {
        if (event.isEndMarker()) {
            handle(new StreamMessage.EndMarkerReceived(mState.attempt()), Optional.empty());
            return;
        }
        EngineEventCodec.decode(event)
                .match(decoded -> handleDecoded(event, decoded), this::interrupted);
    }

    private void handleDecoded(SseEvent event, EngineEvent decoded) {
        if (decoded.usage().isPresent()) {
            mUsage = decoded.usage();
        }
        handle(
                new StreamMessage.EventReceived(
                        mState.attempt(),
                        decoded.position(),
                        decoded.content(),
                        decoded.usage().isPresent()),
                Optional.of(event));
    }

    private void handle(StreamMessage message, Optional<SseEvent> event) {
        StreamDecision decision = StreamDecider.decide(mState, message);
        mState = decision.state();
        for (StreamEffect effect : decision.effects()) {
            if (effect instanceof StreamEffect.DeliverEvent) {
                mEvents.accept(event.orElseThrow());
            } else {
                mEffects.accept(effect);
            }
        }
    }
}
