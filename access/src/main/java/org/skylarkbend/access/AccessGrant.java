package org.skylarkbend.access;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.CallerKey;
import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.Route;

/**
 * The permission of one call to use a route.
 *
 * @param route the route that serves the call
 * @param key the key of the call; absent only on open routes
 * @param customer the customer of the call; absent only on open routes
 */
public record AccessGrant(Route route, Optional<CallerKey> key, Optional<Customer> customer) {
    /**
     * Returns the name of the customer, or an empty string for a call on an open route without a
     * key.
     */
    public String customerScope() {
        return customer.map(Customer::name).map(ObjectName::value).orElse("");
    }
}
