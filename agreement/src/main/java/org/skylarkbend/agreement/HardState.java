package org.skylarkbend.agreement;

import java.util.Optional;

/**
 * The state that a member must have on disk before it sends messages in a term.
 *
 * @param term the newest term that it knows
 * @param vote the member that it voted for in that term
 */
public record HardState(long term, Optional<MemberId> vote) {
    /** Returns the hard state of a new member. */
    public static HardState initial() {
        return new HardState(0, Optional.empty());
    }
}
