package org.skylarkbend.publishing;

import org.skylarkbend.base.ObjectName;

/**
 * A migration of the traffic of a route from one version to another.
 *
 * @param name the unique name of the move
 * @param route the route whose traffic is moved
 * @param fromVersion the version that serves the route before the move
 * @param toVersion the version that serves the route after the move
 * @param completeByEpochMilliseconds the deadline by which the new version must serve all traffic
 * @param trialShare the maximum share of the traffic that is sent to the new version during its
 *     trial
 * @param watchMilliseconds the time for which the new version is monitored after it serves all
 *     traffic
 */
public record TrafficMove(
        ObjectName name,
        ObjectName route,
        ObjectName fromVersion,
        ObjectName toVersion,
        long completeByEpochMilliseconds,
        double trialShare,
        long watchMilliseconds) {}
