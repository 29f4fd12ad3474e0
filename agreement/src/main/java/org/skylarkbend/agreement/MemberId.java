package org.skylarkbend.agreement;

import java.util.Comparator;
import org.skylarkbend.base.ObjectName;

/**
 * The identity of a member: its VM and the random number assigned when its data folder was created.
 *
 * <p>A VM that lost its disk returns with a different number and is a different member.
 */
public record MemberId(ObjectName vm, long number) implements Comparable<MemberId> {
    private static final Comparator<MemberId> ORDER =
            Comparator.comparing(MemberId::vm).thenComparing(MemberId::number);

    @Override
    public int compareTo(MemberId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return vm + "#" + Long.toHexString(number);
    }
}
