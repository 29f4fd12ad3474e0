package org.skylarkbend.catalog;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerLimit;

/** Derives the rate limits of customers from a catalog, for the limit owner and the gateways. */
public final class SiteLimits {
    /**
     * Amount by which customers may exceed their limits. It makes up for the tokens that are spread
     * over several gateways, which otherwise could not admit all calls that a single token bucket
     * would.
     *
     * @param unitsPerSecond amount added to the rate
     * @param burstUnits amount added to the burst size
     */
    public record Slack(long unitsPerSecond, long burstUnits) {
        private static final long SLACK_DENOMINATOR = 5;
        private static final long SLACK_NUMERATOR = 2;

        /** Returns a slack of 0. */
        public static Slack none() {
            return new Slack(0, 0);
        }

        /**
         * Returns the slack for the units by which a customer may exceed its limit within a window.
         * Two fifths are added to the burst and two fifths to the rate; the last fifth is reserved
         * for calls in flight when a limit is lowered.
         */
        public static Slack of(long units, long windowSeconds) {
            long share = units * SLACK_NUMERATOR / SLACK_DENOMINATOR;
            return new Slack(share / windowSeconds, share);
        }
    }

    private SiteLimits() {}

    /**
     * Returns the limits of all customers that have one and whose name is valid.
     *
     * @param catalog catalog with the customers
     * @param slack amount by which customers may exceed their limits
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
