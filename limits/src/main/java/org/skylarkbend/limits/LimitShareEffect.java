package org.skylarkbend.limits;

/** An action that a router has decided on for its limits. */
public sealed interface LimitShareEffect {
    /** Admits the call. */
    record Admit(long callId) implements LimitShareEffect {}

    /**
     * Refuses the call, which has not run.
     *
     * @param retryAfterMilliseconds the expected time until enough tokens are available
     */
    record Refuse(long callId, long retryAfterMilliseconds) implements LimitShareEffect {}

    /**
     * Refuses the call for good, because it needs more tokens than a router may hold.
     *
     * @param maxTokens the maximum number of tokens that a router may hold
     */
    record RefuseTooLarge(long callId, long maxTokens) implements LimitShareEffect {}

    /** Sends a message to the owner over any available connection. It may be lost. */
    record SendToOwner(LimitMessage message) implements LimitShareEffect {}

    /**
     * Reports that the free tokens of all customers were given up, because the owner has confirmed
     * no report for too long.
     *
     * @param tokens the number of tokens
     */
    record Lapsed(long tokens) implements LimitShareEffect {}

    /** Schedules a {@code Wake} message. */
    record WakeAt(long atMilliseconds) implements LimitShareEffect {}
}
