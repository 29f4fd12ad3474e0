package org.skylarkbend.agreement;

import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.skylarkbend.base.ObjectName;

/**
 * The rules for bootstrapping a log, joining it and removing unresponsive members.
 *
 * @param initialVms the VMs that form the initial membership; if empty, this member never creates a
 *     log
 * @param mayJoin returns whether a member on a VM may join
 * @param removeUnresponsiveAfterMilliseconds the time after which an unresponsive member is
 *     removed, if the number of members is even: its removal then shrinks the quorum and the log
 *     tolerates as many failures as before; empty to never remove members
 */
public record MembershipRules(
        Set<ObjectName> initialVms,
        Predicate<ObjectName> mayJoin,
        OptionalLong removeUnresponsiveAfterMilliseconds) {
    /** Copies the set. */
    public MembershipRules {
        initialVms = Set.copyOf(initialVms);
    }

    /** Returns the rules of a log whose members are fixed by the settings. */
    public static MembershipRules fixed(Set<ObjectName> vms) {
        return new MembershipRules(vms, vms::contains, OptionalLong.empty());
    }

    /** Returns the rules of a log that any VM may join if it can reach a member. */
    public static MembershipRules open(
            Set<ObjectName> initialVms, long removeUnresponsiveAfterMilliseconds) {
        return new MembershipRules(
                initialVms, vm -> true, OptionalLong.of(removeUnresponsiveAfterMilliseconds));
    }
}
