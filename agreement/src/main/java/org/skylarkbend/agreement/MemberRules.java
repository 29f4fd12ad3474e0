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
 * @param dropSilentAfterMilliseconds the time after which an unresponsive member is removed, if the
 *     number of members is even: its removal then shrinks the quorum and the log tolerates as many
 *     failures as before; empty to never remove members
 */
public record MemberRules(
        Set<ObjectName> initialVms,
        Predicate<ObjectName> mayJoin,
        OptionalLong dropSilentAfterMilliseconds) {
    /** Copies the set. */
    public MemberRules {
        initialVms = Set.copyOf(initialVms);
    }

    /** Returns the rules of a log whose members are fixed by the settings. */
    public static MemberRules listed(Set<ObjectName> vms) {
        return new MemberRules(vms, vms::contains, OptionalLong.empty());
    }

    /** Returns the rules of a log that any VM may join if it can reach a member. */
    public static MemberRules open(Set<ObjectName> initialVms, long dropSilentAfterMilliseconds) {
        return new MemberRules(
                initialVms, vm -> true, OptionalLong.of(dropSilentAfterMilliseconds));
    }
}
