package org.skylarkbend.control.log;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;

/**
 * The current leadership as known to this member.
 *
 * @param leads true if this member is the leader
 * @param term the latest known term
 * @param leader the VM of the leader, if known
 * @param leaderlessMilliseconds if this member leads, the time before its election during which no
 *     other member can have led
 */
public record Leadership(
        boolean leads, long term, Optional<ObjectName> leader, long leaderlessMilliseconds) {
    /** Returns whether this member has led without interruption since an earlier leadership. */
    public boolean continues(Leadership earlier) {
        return earlier.leads && leads && earlier.term == term;
    }

    /** Returns a leadership without a known leader. */
    public static Leadership unknown() {
        return new Leadership(false, 0, Optional.empty(), 0);
    }
}
