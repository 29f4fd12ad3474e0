package org.skylarkbend.orders.weights;

/** Outcome of an order to load weights. */
public enum LoadAnswer {
    /** The engine is executing the order. */
    ACCEPTED,
    /** The engine already has these weights. */
    HOLDS,
    /**
     * Another order is in progress, or the number of accepted orders differs from the expected one.
     */
    CONFLICT,
    /** The engine has seen a higher fencing number. */
    FENCED,
    /** The order was refused for another reason. */
    REFUSED,
    /** No response arrived: the order may still be executed, also later. */
    UNKNOWN
}
