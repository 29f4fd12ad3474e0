package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.skylarkbend.base.ObjectName;

/** The members whose votes and copies count, in ascending order. */
public record Membership(List<MemberId> voters) {
    /** The most members that the log may have. */
    public static final int MAX_VOTERS = 7;

    /** Copies and sorts the voters. */
    public Membership {
        voters = voters.stream().distinct().sorted().toList();
    }

    /** No members: what a member knows before it has heard of any. */
    public static Membership none() {
        return new Membership(List.of());
    }

    /** Whether this member counts. */
    public boolean contains(MemberId member) {
        return voters.contains(member);
    }

    /** How many members are a quorum. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Whether the members that pass the test are a quorum. */
    public boolean isQuorum(Predicate<MemberId> test) {
        return !voters.isEmpty() && voters.stream().filter(test).count() >= quorum();
    }

    /** The highest value that a quorum has reached. */
    public long quorumValue(ToLongFunction<MemberId> value) {
        long[] ascending = voters.stream().mapToLong(value).sorted().toArray();
        return ascending[ascending.length - quorum()];
    }

    /** The member on this VM. */
    public Optional<MemberId> onVm(ObjectName vm) {
        return voters.stream().filter(member -> member.vm().equals(vm)).findFirst();
    }

    /** These members and one more. */
    public Membership with(MemberId member) {
        return new Membership(Stream.concat(voters.stream(), Stream.of(member)).toList());
    }

    /** These members but one. */
    public Membership without(MemberId member) {
        return new Membership(voters.stream().filter(voter -> !voter.equals(member)).toList());
    }
}
