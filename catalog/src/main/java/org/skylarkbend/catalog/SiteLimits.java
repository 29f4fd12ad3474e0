package org.skylarkbend.catalog;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerLimit;

/** The limits of a catalog's customers, as owner and gateways share them. */
public final class SiteLimits {
    /**
     * By how much customers may exceed their limits. Gateways cannot choose the very calls that one
     * exact bucket would; the slack lets them serve those as well.
     *
     * @param unitsPerSecond beyond the rate
     * @param burstUnits beyond the burst
     */
    public record Slack(long unitsPerSecond, long burstUnits) {
        private static final long PARTS = 5;
        private static final long USED_PARTS = 2;

        /** Limits without slack. */
        public static Slack none() {
            return new Slack(0, 0);
        }

        /**
         * Two fifths of what may be exceeded in a window for the burst and two for the rate; the
         * last is left for calls that are under way when a limit is lowered.
         */
        public static Slack of(long units, long windowSeconds) {
            long part = units * USED_PARTS / PARTS;
            return new Slack(part / windowSeconds, part);
        }
    }

    private SiteLimits() {}

    /**
     * The limits of all customers that have one.
     *
     * @param catalog the catalog
     * @param slack by how much customers may exceed their limits
     */
    public static List<CustomerLimit> of(Catalog catalog, Slack slack) {
        return catalog.customers().stream()
                .filter(Customer::isLimited)
                .filter(customer -> ObjectName.isValid(customer.name()))
                .map(
                        customer ->
                                new CustomerLimit(
                                        ObjectName.of(customer.name()),
                                        customer.unitsPerSecond() + slack.unitsPerSecond(),
                                        Math.max(1, customer.burstUnits() + slack.burstUnits())))
                .toList();
    }
}
