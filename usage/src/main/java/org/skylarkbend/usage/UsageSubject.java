package org.skylarkbend.usage;

import java.util.Comparator;
import org.skylarkbend.base.ObjectName;

/** The customer, key and route to which tokens are attributed. */
public record UsageSubject(ObjectName customer, ObjectName key, ObjectName route)
        implements Comparable<UsageSubject> {
    private static final Comparator<UsageSubject> ORDER =
            Comparator.comparing(UsageSubject::customer)
                    .thenComparing(UsageSubject::key)
                    .thenComparing(UsageSubject::route);

    @Override
    public int compareTo(UsageSubject other) {
        return ORDER.compare(this, other);
    }
}
