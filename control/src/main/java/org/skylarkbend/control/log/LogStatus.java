package org.skylarkbend.control.log;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/**
 * The state of the replicated log as known to one member.
 *
 * @param term the latest known term
 * @param appliedIndex the index of the last applied entry
 * @param voters the voting members
 */
public record LogStatus(long term, long appliedIndex, List<Voter> voters) {
    /** Copies the list. */
    public LogStatus {
        voters = List.copyOf(voters);
    }

    /**
     * A voting member.
     *
     * @param vm the VM of the member
     * @param identity the identity of its storage, in hexadecimal; an erased disk gets a new one
     */
    public record Voter(ObjectName vm, String identity) {}
}
