package org.skylarkbend.limits;

/** An action that the limit owner has decided on. */
public sealed interface LimitOwnerEffect {
    /** Sends a message immediately. It may be lost. */
    record Send(RouterIdentity router, LimitMessage message) implements LimitOwnerEffect {}

    /**
     * Sends a message only after a quorum round begun after this effect was returned has confirmed
     * that this process still leads in its term; otherwise drops it.
     *
     * <p>The limit on every window depends on this order: every grant ever sent was decided before
     * the next owner began.
     */
    record SendConfirmed(RouterIdentity router, LimitMessage message) implements LimitOwnerEffect {}

    /**
     * Proposes to the log to register an incarnation. {@code RouterRegistered} follows once it is
     * committed.
     */
    record Register(RouterIdentity router) implements LimitOwnerEffect {}

    /** Proposes to the log to unregister an incarnation. */
    record Unregister(RouterIdentity router) implements LimitOwnerEffect {}

    /** Reports that the tokens of a silent router count no longer. */
    record Reclaimed(RouterIdentity router) implements LimitOwnerEffect {}

    /** Schedules a {@code Wake} message. */
    record WakeAt(long atMilliseconds) implements LimitOwnerEffect {}
}
