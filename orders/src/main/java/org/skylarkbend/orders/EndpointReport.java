package org.skylarkbend.orders;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;

/**
 * State reported by an endpoint.
 *
 * @param incarnation a number that changes when the endpoint restarts
 * @param versions the loaded versions
 * @param lastFencingNumber the highest fencing number that it has seen, or 0 if it does not check
 *     them
 */
public record EndpointReport(
        long incarnation, SortedSet<ObjectName> versions, long lastFencingNumber) {
    /** Copies the versions. */
    public EndpointReport {
        versions = Collections.unmodifiableSortedSet(new TreeSet<>(versions));
    }
}
