package org.skylarkbend.limits;

/** An action that a router has decided on for its limits. */
public sealed interface LimitShareEffect {
    /** The call may proceed. */
    record Admit(long callId) implements LimitShareEffect {}

    /**
     * The call is refused before it ran.
     *
     * @param callId the call
     * @param retryAfterMilliseconds the expected time until enough tokens are available
     */
    record Refuse(long callId, long retryAfterMilliseconds) implements LimitShareEffect {}

    /** The call can never be admitted, because it needs more tokens than a router may hold. */
    record RefuseTooLarge(long callId, long maxTokens) implements LimitShareEffect {}

    /** Sends a message to the owner over any available connection. It may be lost. */
    record SendToOwner(LimitMessage message) implements LimitShareEffect {}

    /** Schedules a {@code Wake} message. */
    record WakeAt(long atMilliseconds) implements LimitShareEffect {}
}
