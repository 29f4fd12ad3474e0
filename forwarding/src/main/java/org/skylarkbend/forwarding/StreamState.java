package org.skylarkbend.forwarding;

/**
 * Progress of the response stream of a call.
 *
 * @param attempt the current attempt
 * @param repeatable true if a second execution of the call gives the same response
 * @param deliveredPosition the last position delivered to the caller; 0 before the first event
 * @param deliveredChain a chained hash over the contents of all delivered events
 * @param receivedPosition the last position received from the current attempt without a gap
 * @param receivedChain a chained hash over the contents of the received events
 * @param finalEventReceived true if the final event has been received
 * @param resumes the number of resumes of the attempt since its last event
 * @param closed true if the stream is complete or has failed
 */
public record StreamState(
        AttemptId attempt,
        boolean repeatable,
        long deliveredPosition,
        long deliveredChain,
        long receivedPosition,
        long receivedChain,
        boolean finalEventReceived,
        int resumes,
        boolean closed) {
    private static final long CHAIN_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int CHAIN_SHIFT = 29;

    /** Returns the state of a stream before its first event. */
    public static StreamState opening(AttemptId attempt, boolean repeatable) {
        return new StreamState(attempt, repeatable, 0, 0, 0, 0, false, 0, false);
    }

    /** Returns whether the current attempt repeats events that an earlier one delivered. */
    public boolean isReplaying() {
        return receivedPosition < deliveredPosition;
    }

    StreamState withNewAttempt(AttemptId newAttempt) {
        return new StreamState(
                newAttempt, repeatable, deliveredPosition, deliveredChain, 0, 0, false, 0, false);
    }

    StreamState withReceived(long content, boolean isLast) {
        return new StreamState(
                attempt,
                repeatable,
                deliveredPosition,
                deliveredChain,
                receivedPosition + 1,
                chained(receivedChain, content),
                isLast,
                0,
                closed);
    }

    StreamState withDelivered() {
        return new StreamState(
                attempt,
                repeatable,
                receivedPosition,
                receivedChain,
                receivedPosition,
                receivedChain,
                finalEventReceived,
                resumes,
                closed);
    }

    StreamState withResume() {
        return new StreamState(
                attempt,
                repeatable,
                deliveredPosition,
                deliveredChain,
                receivedPosition,
                receivedChain,
                finalEventReceived,
                resumes + 1,
                closed);
    }

    StreamState ended() {
        return new StreamState(
                attempt,
                repeatable,
                deliveredPosition,
                deliveredChain,
                receivedPosition,
                receivedChain,
                finalEventReceived,
                resumes,
                true);
    }

    private static long chained(long chain, long content) {
        long mixed = (chain ^ content) * CHAIN_MULTIPLIER;
        return mixed ^ (mixed >>> CHAIN_SHIFT);
    }
}
