package org.skylarkbend.gateway;

/**
 * When a gateway that shuts down refuses new calls, and when it ends those that are left.
 *
 * @param refuseAfterMilliseconds time after which new calls are refused; until then the load
 *     balancer may not have noticed
 * @param endAfterMilliseconds time after which the remaining calls are ended
 */
public record DrainSchedule(long refuseAfterMilliseconds, long endAfterMilliseconds) {
    /**
     * The load balancer checks readiness once a second and needs up to two checks to take a gateway
     * out.
     */
    private static final long BALANCER_MILLISECONDS = 2_800;

    /**
     * Time between the end of the drain and the end of the grace period. A process on a third of a
     * core needs most of it to end.
     */
    private static final long SHUTDOWN_MARGIN_MILLISECONDS = 1_200;

    /** Returns the schedule for a grace period, after which the process is killed. */
    public static DrainSchedule within(long graceMilliseconds) {
        long endMilliseconds = Math.max(0, graceMilliseconds - SHUTDOWN_MARGIN_MILLISECONDS);
        // Calls that are accepted last need time to run, also in a short grace period.
        return new DrainSchedule(
                Math.min(BALANCER_MILLISECONDS, endMilliseconds / 2), endMilliseconds);
    }
}
