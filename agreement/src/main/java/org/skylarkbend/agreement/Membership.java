package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.skylarkbend.base.ObjectName;

/**
 * The voting members of the log.
 *
 * @param voters the members, in ascending order
 */
public record Membership(List<MemberId> voters) {
    /** The maximum number of voters that a log is meant to keep. */
    public static final int MAX_VOTERS = 7;

    /** Copies and sorts the voters. */
    public Membership {
        voters = voters.stream().distinct().sorted().toList();
    }

    /** Returns the empty membership of a member that has not joined a log. */
    public static Membership none() {
        return new Membership(List.of());
    }

    /** Returns whether the member is a voter. */
    public boolean contains(MemberId member) {
        return voters.contains(member);
    }

    /** Returns the number of voters in a quorum. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether the voters that pass the test form a quorum. */
    public boolean isQuorum(Predicate<MemberId> test) {
        return !voters.isEmpty() && voters.stream().filter(test).count() >= quorum();
    }

    /** Returns the highest value that a quorum of voters has reached. */
    public long quorumValue(ToLongFunction<MemberId> value) {
        long[] ascending = voters.stream().mapToLong(value).sorted().toArray();
        return ascending[ascending.length - quorum()];
    }

    /** Returns the voter on this VM, if any. */
    public Optional<MemberId> onVm(ObjectName vm) {
        return voters.stream().filter(member -> member.vm().equals(vm)).findFirst();
    }

    /** Returns this membership with one more voter. */
    public Membership with(MemberId member) {
        return new Membership(Stream.concat(voters.stream(), Stream.of(member)).toList());
    }

    /** Returns this membership without one voter. */
    public Membership without(MemberId member) {
        return new Membership(voters.stream().filter(voter -> !voter.equals(member)).toList());
    }

    /** Returns the voters that are not in another membership. */
    public List<MemberId> notIn(Membership other) {
        return voters.stream().filter(voter -> !other.contains(voter)).toList();
    }
}
