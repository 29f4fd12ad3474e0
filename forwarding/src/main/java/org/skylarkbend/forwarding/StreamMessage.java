package org.skylarkbend.forwarding;

/** An input message of {@link StreamDecider} about the response stream of one call. */
public sealed interface StreamMessage {
    /** A new attempt has started to respond; its positions count from 1 again. */
    record Opened(AttemptId attempt) implements StreamMessage {}

    /**
     * A stream event has been received.
     *
     * @param attempt the attempt to which it belongs
     * @param position the position of the event in the response, counted from 1
     * @param content a hash of the content that the event adds to the response
     * @param isLast true if this is the final event of the response
     */
    record EventReceived(AttemptId attempt, long position, long content, boolean isLast)
            implements StreamMessage {}

    /** The end marker of the stream has been received. */
    record EndMarkerReceived(AttemptId attempt) implements StreamMessage {}

    /**
     * No data has been received within the silence timeout.
     *
     * @param attempt the attempt to which the connection belongs
     * @param provenAlive true if the endpoint has responded on this connection before
     * @param othersOpen true if an earlier connection of the attempt may still go on
     */
    record SilenceTimedOut(AttemptId attempt, boolean provenAlive, boolean othersOpen)
            implements StreamMessage {
        /** Creates the message for an attempt with a single connection. */
        public SilenceTimedOut(AttemptId attempt, boolean provenAlive) {
            this(attempt, provenAlive, false);
        }
    }

    /** The connection was closed or sent invalid data. */
    record Interrupted(AttemptId attempt, String cause) implements StreamMessage {}

    /**
     * The endpoint cannot resume the attempt.
     *
     * @param attempt the attempt
     * @param cause what the endpoint did
     * @param othersOpen true if an earlier connection of the attempt may still go on
     */
    record ResumeRefused(AttemptId attempt, String cause, boolean othersOpen)
            implements StreamMessage {
        /** Creates the message for an attempt without another connection. */
        public ResumeRefused(AttemptId attempt, String cause) {
            this(attempt, cause, false);
        }
    }
}
