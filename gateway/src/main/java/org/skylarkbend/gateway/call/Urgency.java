package org.skylarkbend.gateway.call;

import org.skylarkbend.catalog.Customer;

/**
 * How urgent a call is to an engine.
 *
 * @param level from 0, the most urgent, to 9
 */
record Urgency(int level) {
    private static final int LEAST_URGENT = 9;

    /** The customer's rank goes before that of the route. */
    static Urgency of(CallRequest call) {
        int priority =
                call.customer()
                        .map(Customer::priority)
                        .filter(java.util.OptionalInt::isPresent)
                        .map(java.util.OptionalInt::getAsInt)
                        .orElse(call.route().priority());
        return new Urgency(Math.max(0, Math.min(LEAST_URGENT, priority)));
    }

    String header() {
        return Integer.toString(level);
    }
}
