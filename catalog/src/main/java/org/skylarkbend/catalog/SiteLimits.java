package org.skylarkbend.catalog;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerLimit;

/** The limits of a catalog's customers, as owner and gateways share them. */
public final class SiteLimits {
    private SiteLimits() {}

    /**
     * The limits of all customers that have one.
     *
     * @param catalog the catalog
     * @param slackUnits by how much a customer may exceed its burst
     */
    public static List<CustomerLimit> of(Catalog catalog, long slackUnits) {
        return catalog.customers().stream()
                .filter(Customer::isLimited)
                .filter(customer -> ObjectName.isValid(customer.name()))
                .map(
                        customer ->
                                new CustomerLimit(
                                        ObjectName.of(customer.name()),
                                        customer.unitsPerSecond(),
                                        Math.max(1, customer.burstUnits() + slackUnits)))
                .toList();
    }
}
