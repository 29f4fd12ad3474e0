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
 * @param toleratedLosses the number of members that may be lost at the same time; 0 for as many as
 *     the present number of voters bears
 * @param removeUnresponsiveAfterMilliseconds the time after which an unresponsive member is
 *     removed, if more voters remain than are needed to tolerate the losses, or if a new member can
 *     take its place; empty to never remove members
 */
public record MembershipRules(
        Set<ObjectName> initialVms,
        Predicate<ObjectName> mayJoin,
        int toleratedLosses,
        OptionalLong removeUnresponsiveAfterMilliseconds) {
    /** The number of losses that the maximum number of voters tolerates. */
    public static final int MAX_TOLERATED_LOSSES = (Membership.MAX_VOTERS - 1) / 2;

    /** The number of voters that tolerates one loss. */
    private static final int MIN_VOTERS = 3;

    /** The silences after which a voter is taken for gone where the losses are not known. */
    private static final long GONE_FACTOR = 2;

    /** The number of successors that are taken in before the voters that they replace are out. */
    private static final int MAX_SUCCESSORS = 2;

    /** Copies the set, and limits the losses to those that a log can tolerate. */
    public MembershipRules {
        initialVms = Set.copyOf(initialVms);
        toleratedLosses = Math.min(toleratedLosses, MAX_TOLERATED_LOSSES);
    }

    /** Returns the rules of a log whose members are fixed by the settings. */
    public static MembershipRules fixed(Set<ObjectName> vms) {
        return new MembershipRules(vms, vms::contains, (vms.size() - 1) / 2, OptionalLong.empty());
    }

    /** Returns the rules of a log that any VM may join if it can reach a member. */
    public static MembershipRules open(
            Set<ObjectName> initialVms,
            int toleratedLosses,
            long removeUnresponsiveAfterMilliseconds) {
        return new MembershipRules(
                initialVms,
                vm -> true,
                toleratedLosses,
                OptionalLong.of(removeUnresponsiveAfterMilliseconds));
    }

    /** Returns the number of losses that a log with this many voters is to tolerate. */
    int toleratedLosses(int voters) {
        return toleratedLosses > 0 ? toleratedLosses : (voters - 1) / 2;
    }

    /**
     * Returns the number of voters whose quorum remains after the losses.
     *
     * @param voters the present number of voters
     */
    int intendedVoters(int voters) {
        return 2 * toleratedLosses(voters) + 1;
    }

    /**
     * Returns the time after which a silent voter is taken for gone, in a group that does not know
     * how many losses it has to bear: its present number of voters may include successors and the
     * members that they replaced. Such a group keeps the least number of voters that bears a loss.
     *
     * @param voters the present number of voters
     */
    OptionalLong removeGoneAfterMilliseconds(int voters) {
        boolean mayRemove =
                toleratedLosses == 0
                        && voters > MIN_VOTERS
                        && removeUnresponsiveAfterMilliseconds.isPresent();
        return mayRemove
                ? OptionalLong.of(GONE_FACTOR * removeUnresponsiveAfterMilliseconds.getAsLong())
                : OptionalLong.empty();
    }

    /**
     * Returns the number of voters up to which new ones are taken in. There is always room for
     * successors, so that a voter which ends after its successor has started is no further loss.
     */
    int maxVoters() {
        return Math.max(Membership.MAX_VOTERS, 2 * toleratedLosses + 1 + MAX_SUCCESSORS);
    }
}
