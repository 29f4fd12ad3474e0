package org.skylarkbend.explain;

import java.util.SortedMap;

/**
 * What became of all calls at an endpoint of the call in the time that the story looks at.
 *
 * @param endpoint the endpoint
 * @param served calls that ended there with a response that is no server error
 * @param notServed calls that ended there otherwise
 * @param failedAttempts number of failed attempts by outcome and cause
 */
public record EndpointTally(
        String endpoint, int served, int notServed, SortedMap<String, Integer> failedAttempts) {}
