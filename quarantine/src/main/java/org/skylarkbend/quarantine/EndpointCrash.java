package org.skylarkbend.quarantine;

import java.util.List;

/**
 * Crash of an endpoint as seen by one gateway.
 *
 * @param incarnation incarnation of the endpoint that crashed
 * @param ageMilliseconds time since its connections broke
 * @param calls calls of this gateway that waited there
 */
public record EndpointCrash(String incarnation, long ageMilliseconds, List<SuspectCall> calls) {
    /** Creates the record with a copy of {@code calls}. */
    public EndpointCrash {
        calls = List.copyOf(calls);
    }
}
