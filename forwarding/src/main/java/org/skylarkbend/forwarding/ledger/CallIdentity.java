package org.skylarkbend.forwarding.ledger;

import java.util.Objects;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;

/**
 * Identity of a call. Requests with equal customer, route and idempotency key are the same call.
 *
 * @param customer the customer of the caller; empty on an open route
 * @param route the route of the call
 * @param idempotencyKey the value of the {@code Idempotency-Key} header
 */
public record CallIdentity(Optional<ObjectName> customer, ObjectName route, String idempotencyKey) {
    /** The maximum length of an idempotency key in characters. */
    public static final int MAX_KEY_CHARACTERS = 255;

    /** Rejects a key that is empty or too long. */
    public CallIdentity {
        Objects.requireNonNull(customer);
        Objects.requireNonNull(route);
        if (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_KEY_CHARACTERS) {
            throw new IllegalArgumentException(
                    "an idempotency key must have 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
    }
}
