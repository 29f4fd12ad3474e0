package org.skylarkbend.forwarding;

import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.forwarding.StreamMessage.EndMarkerReceived;
import org.skylarkbend.forwarding.StreamMessage.EventReceived;
import org.skylarkbend.forwarding.StreamMessage.Interrupted;
import org.skylarkbend.forwarding.StreamMessage.Opened;
import org.skylarkbend.forwarding.StreamMessage.ResumeRefused;
import org.skylarkbend.forwarding.StreamMessage.SilenceTimedOut;

/**
 * Decides which events of a stream are delivered to the caller, so that they arrive complete and in
 * order.
 *
 * <p>Positions count from 1. An event with a repeated position is dropped. After a gap, a premature
 * end or a silence timeout the same attempt is resumed by position. The resume uses a new
 * connection and thereby also probes an endpoint that has been silent: while the endpoint accepts
 * resumes, the attempt is alive and only slow. If the endpoint cannot resume, a new attempt starts
 * from the beginning. If events were already delivered, a new attempt is allowed only for a call
 * whose second execution gives the same response, and the hash of the replayed part must match the
 * delivered part. A call that allows none waits for its silent connection, as long as that is open.
 * The stream is complete only if the end marker follows the final event.
 */
public final class StreamDecider {
    /** The maximum number of resumes of an attempt without a new event in between. */
    public static final int MAX_RESUMES_WITHOUT_EVENT = 3;

    private StreamDecider() {}

    /**
     * Applies one message to the state of a stream and returns the new state and the actions to
     * take. Messages of other attempts are ignored.
     */
    public static StreamDecision decide(StreamState state, StreamMessage message) {
        if (state.closed()) {
            return unchanged(state);
        }
        if (message instanceof Opened opened) {
            return opened.attempt().equals(state.attempt())
                    ? unchanged(state)
                    : unchanged(state.withNewAttempt(opened.attempt()));
        }
        if (message instanceof EventReceived event && event.attempt().equals(state.attempt())) {
            return handleEvent(state, event);
        }
        if (message instanceof EndMarkerReceived marker
                && marker.attempt().equals(state.attempt())) {
            return handleEndMarker(state);
        }
        if (message instanceof Interrupted end && end.attempt().equals(state.attempt())) {
            return resume(state, end.cause(), false);
        }
        if (message instanceof SilenceTimedOut silent && silent.attempt().equals(state.attempt())) {
            return handleSilence(state, silent);
        }
        if (message instanceof ResumeRefused end && end.attempt().equals(state.attempt())) {
            return startNewAttempt(state, end.cause(), end.othersOpen());
        }
        return unchanged(state);
    }

    private static StreamDecision handleEvent(StreamState state, EventReceived event) {
        if (event.position() <= state.receivedPosition()) {
            return unchanged(state);
        }
        if (event.position() > state.receivedPosition() + 1) {
            return resume(state, "events are missing before position " + event.position(), false);
        }
        StreamState next = state.withReceived(event.content(), event.isLast());
        if (next.isReplaying()) {
            return unchanged(next);
        }
        if (next.receivedPosition() > next.deliveredPosition()) {
            StreamEffect deliver = new StreamEffect.DeliverEvent(event.position());
            return new StreamDecision(next.withDelivered(), List.of(deliver));
        }
        if (next.receivedChain() != next.deliveredChain()) {
            return fail(next, "the replayed response differs from the part already delivered");
        }
        return unchanged(next);
    }

    private static StreamDecision handleEndMarker(StreamState state) {
        if (!state.finalEventReceived()) {
            return resume(state, "the stream ended before its final event", false);
        }
        if (state.isReplaying()) {
            return fail(state, "the replayed response is shorter than the part already delivered");
        }
        return complete(state);
    }

    private static StreamDecision complete(StreamState state) {
        StreamEffect complete = new StreamEffect.CompleteResponse(state.attempt());
        return new StreamDecision(state.ended(), List.of(complete));
    }

    private static StreamDecision handleSilence(StreamState state, SilenceTimedOut silent) {
        if (!silent.provenAlive()) {
            String cause = "no data was received within the silence timeout";
            return resume(state, cause, silent.othersOpen());
        }
        StreamEffect resume = new StreamEffect.Resume(state.attempt(), state.receivedPosition());
        return new StreamDecision(state, List.of(resume));
    }

    private static StreamDecision resume(StreamState state, String cause, boolean othersOpen) {
        if (state.finalEventReceived() && !state.isReplaying()) {
            return complete(state);
        }
        if (state.resumes() >= MAX_RESUMES_WITHOUT_EVENT) {
            return startNewAttempt(state, cause, othersOpen);
        }
        StreamEffect resume = new StreamEffect.Resume(state.attempt(), state.receivedPosition());
        return new StreamDecision(state.withResume(), List.of(resume));
    }

    private static StreamDecision startNewAttempt(
            StreamState state, String cause, boolean othersOpen) {
        if (state.deliveredPosition() > 0 && !state.repeatable()) {
            if (othersOpen) {
                return unchanged(state);
            }
            return fail(state, cause + "; a second run may give a different response");
        }
        return new StreamDecision(
                state, List.of(new StreamEffect.StartNewAttempt(state.attempt(), cause)));
    }

    private static StreamDecision fail(StreamState state, String cause) {
        SkylarkError error = new SkylarkError(ErrorKind.STREAM_BROKEN, cause);
        StreamEffect fail = new StreamEffect.Fail(state.attempt(), error);
        return new StreamDecision(state.ended(), List.of(fail));
    }

    private static StreamDecision unchanged(StreamState state) {
        return new StreamDecision(state, List.of());
    }
}
