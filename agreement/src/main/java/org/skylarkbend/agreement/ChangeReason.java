package org.skylarkbend.agreement;

/** Why a leader adds or removes a member. */
public sealed interface ChangeReason {
    /** The member is new and its log is up to date. */
    record Joined() implements ChangeReason {}

    /** The member is about to end and can be done without. */
    record Leaving() implements ChangeReason {}

    /** A member with an empty disk has taken its VM over. */
    record Replaced(MemberId successor) implements ChangeReason {}

    /**
     * The member has not responded for long.
     *
     * @param silentMilliseconds the time since its last response to this leader, or since the
     *     leader was elected
     * @param allowedMilliseconds the time for which it may be silent
     */
    record Silent(long silentMilliseconds, long allowedMilliseconds) implements ChangeReason {}
}
