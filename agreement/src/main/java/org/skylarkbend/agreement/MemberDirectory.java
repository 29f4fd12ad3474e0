package org.skylarkbend.agreement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.skylarkbend.base.ObjectName;

/**
 * Where the members of a log are found.
 *
 * @param contacts the VMs that a member calls from its start on, whether they are members or not
 * @param addressOf where a member on a VM listens, if that is known
 * @param rules who may found, join and stay
 */
public record MemberDirectory(
        Set<ObjectName> seedVms,
        Function<ObjectName, Optional<MemberAddress>> addressOf,
        MemberRules rules) {
    /** Copies the set. */
    public MemberDirectory {
        seedVms = Set.copyOf(seedVms);
    }

    /** The directory of a log whose members are named in the settings. */
    public static MemberDirectory listed(Map<ObjectName, MemberAddress> members) {
        Map<ObjectName, MemberAddress> copied = Map.copyOf(members);
        return new MemberDirectory(
                copied.keySet(),
                vm -> Optional.ofNullable(copied.get(vm)),
                MemberRules.listed(copied.keySet()));
    }
}
