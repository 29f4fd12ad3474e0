package org.skylarkbend.agreement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.skylarkbend.base.ObjectName;

/**
 * The addresses of the members of a log and the rules of its membership.
 *
 * @param seedVms the VMs that a member connects to when it starts, members or not
 * @param addressOf returns the address of the member on a VM, if known
 * @param rules the rules for bootstrapping the log, joining it and removing members
 */
public record MemberDirectory(
        Set<ObjectName> seedVms,
        Function<ObjectName, Optional<MemberAddress>> addressOf,
        MembershipRules rules) {
    /** Copies the set. */
    public MemberDirectory {
        seedVms = Set.copyOf(seedVms);
    }

    /** Returns the directory of a log whose members are fixed by the settings. */
    public static MemberDirectory fixed(Map<ObjectName, MemberAddress> members) {
        Map<ObjectName, MemberAddress> copied = Map.copyOf(members);
        return new MemberDirectory(
                copied.keySet(),
                vm -> Optional.ofNullable(copied.get(vm)),
                MembershipRules.fixed(copied.keySet()));
    }
}
