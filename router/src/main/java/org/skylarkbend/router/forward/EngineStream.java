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
import org.skylarkbend.router.SseCodec;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;

/**
 * Decodes the bytes of an engine's response stream, passes the events to the stream decider and
 * executes its decisions.
 */
final class EngineStream {
    private final int mMaxEventBytes;
    private final Consumer<SseEvent> mEvents;
    private final Consumer<StreamEffect> mEffects;
    private StreamState mState;
    private SseCodec mCodec;
    private int mConnections;
    private Optional<TokenUsage> mUsage = Optional.empty();

    EngineStream(
            StreamState state,
            int maxEventBytes,
            Consumer<SseEvent> events,
            Consumer<StreamEffect> effects) {
        mState = state;
        mMaxEventBytes = maxEventBytes;
        mEvents = events;
        mEffects = effects;
        mCodec = new SseCodec(maxEventBytes);
    }

    /** Starts reading the stream of this attempt from a new connection. */
    void openedConnection(AttemptId attempt) {
        mConnections++;
        mCodec = new SseCodec(mMaxEventBytes);
        take(new StreamMessage.Opened(attempt), Optional.empty());
    }

    void bytesCame(byte[] chunk) {
        mCodec.feed(chunk).match(this::takeAll, this::interrupted);
    }

    void interrupted(String cause) {
        take(new StreamMessage.Interrupted(mState.attempt(), cause), Optional.empty());
    }

    void wentSilent(boolean provenAlive) {
        take(new StreamMessage.WentSilent(mState.attempt(), provenAlive), Optional.empty());
    }

    void resumeRefused(String cause) {
        take(new StreamMessage.ResumeRefused(mState.attempt(), cause), Optional.empty());
    }

    /** Returns the token usage if the final event has been received. */
    Optional<TokenUsage> usage() {
        return mUsage;
    }

    private void interrupted(SkylarkError error) {
        interrupted(error.detail());
    }

    private void takeAll(List<SseEvent> events) {
        int connection = mConnections;
        for (SseEvent event : events) {
            if (connection != mConnections || mState.over()) {
                return;
            }
            takeEvent(event);
        }
    }

    private void takeEvent(SseEvent event) {
        if (event.isEndMark()) {
            take(new StreamMessage.EndMarkCame(mState.attempt()), Optional.empty());
            return;
        }
        EngineEventCodec.decode(event)
                .match(decoded -> takeDecoded(event, decoded), this::interrupted);
    }

    private void takeDecoded(SseEvent event, EngineEvent decoded) {
        if (decoded.usage().isPresent()) {
            mUsage = decoded.usage();
        }
        take(
                new StreamMessage.EventCame(
                        mState.attempt(),
                        decoded.position(),
                        decoded.content(),
                        decoded.usage().isPresent()),
                Optional.of(event));
    }

    private void take(StreamMessage message, Optional<SseEvent> event) {
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
