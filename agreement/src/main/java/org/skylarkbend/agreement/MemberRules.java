package org.skylarkbend.agreement;

import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.skylarkbend.base.ObjectName;

/**
 * Who may begin a log, who may join it, and when a silent member loses its place.
 *
 * @param founders the VMs that form the first membership together; where it is empty, this member
 *     never begins a log
 * @param admits whether a member on this VM may join
 * @param dropSilentAfterMilliseconds a member that has been silent for so long leaves when the
 *     number of members is even, since it then costs more than it gives; empty keeps it
 */
public record MemberRules(
        Set<ObjectName> initialVms,
        Predicate<ObjectName> mayJoin,
        OptionalLong dropSilentAfterMilliseconds) {
    /** Copies the set. */
    public MemberRules {
        initialVms = Set.copyOf(initialVms);
    }

    /** The rules of a log whose members are named in the settings. */
    public static MemberRules listed(Set<ObjectName> vms) {
        return new MemberRules(vms, vms::contains, OptionalLong.empty());
    }

    /** The rules of a log that any VM may join which finds a member of it. */
    public static MemberRules open(Set<ObjectName> initialVms, long dropSilentAfterMilliseconds) {
        return new MemberRules(
                initialVms, vm -> true, OptionalLong.of(dropSilentAfterMilliseconds));
    }
}
