package org.skylarkbend.membership;

import java.util.OptionalLong;

/**
 * Evidence about one endpoint.
 *
 * @param incarnation the newest incarnation that reported, if any
 * @param reportedLeaving true if that incarnation reported that it is leaving
 * @param listedLeaving true if the newest list marks the endpoint as leaving
 * @param consecutiveFailures the number of failures since the last sign of life
 * @param lastSignMilliseconds the time of the last sign of life, or at which the endpoint was first
 *     configured
 */
record EndpointHealth(
        OptionalLong incarnation,
        boolean reportedLeaving,
        boolean listedLeaving,
        int consecutiveFailures,
        long lastSignMilliseconds) {
    static EndpointHealth initial(boolean listedLeaving, long nowMilliseconds) {
        return new EndpointHealth(OptionalLong.empty(), false, listedLeaving, 0, nowMilliseconds);
    }

    EndpointCondition conditionAt(long nowMilliseconds, MembershipThresholds thresholds) {
        long silentMilliseconds = nowMilliseconds - lastSignMilliseconds;
        if (silentMilliseconds > thresholds.deadAfterMilliseconds()) {
            return EndpointCondition.DEAD;
        }
        if (reportedLeaving || listedLeaving) {
            return EndpointCondition.LEAVING;
        }
        boolean suspect =
                consecutiveFailures >= thresholds.suspectFailures()
                        || silentMilliseconds > thresholds.suspectAfterMilliseconds();
        return suspect ? EndpointCondition.SUSPECT : EndpointCondition.LIVE;
    }

    /**
     * Returns whether a report is from a former incarnation. Once the known incarnation has been
     * silent long enough to be dead, any incarnation is accepted, because numbers may restart with
     * a machine's clock.
     */
    boolean isOfFormerIncarnation(
            long reportedIncarnation, long nowMilliseconds, MembershipThresholds thresholds) {
        return incarnation.isPresent()
                && reportedIncarnation < incarnation.getAsLong()
                && nowMilliseconds - lastSignMilliseconds <= thresholds.deadAfterMilliseconds();
    }

    EndpointHealth reported(long reportedIncarnation, boolean leaving, long nowMilliseconds) {
        boolean sameIncarnation =
                incarnation.isPresent() && incarnation.getAsLong() == reportedIncarnation;
        boolean stillLeaving = leaving || sameIncarnation && reportedLeaving;
        return new EndpointHealth(
                OptionalLong.of(reportedIncarnation),
                stillLeaving,
                listedLeaving,
                0,
                nowMilliseconds);
    }

    EndpointHealth responseReceived(long nowMilliseconds) {
        return new EndpointHealth(incarnation, reportedLeaving, listedLeaving, 0, nowMilliseconds);
    }

    EndpointHealth failed() {
        return new EndpointHealth(
                incarnation,
                reportedLeaving,
                listedLeaving,
                consecutiveFailures + 1,
                lastSignMilliseconds);
    }

    EndpointHealth listed(boolean leaving) {
        return new EndpointHealth(
                incarnation, reportedLeaving, leaving, consecutiveFailures, lastSignMilliseconds);
    }
}
