package org.skylarkbend.orders.weights;

/** What became of an order to load weights. */
public enum LoadAnswer {
    /** The engine carries it out. */
    ACCEPTED,
    /** The engine has these weights already. */
    HOLDS,
    /** Another order is in progress, or the engine has accepted others than the order expected. */
    CONFLICT,
    /** The engine has met a higher fencing number. */
    FENCED,
    /** The order was refused for another reason. */
    REFUSED,
    /** No answer came: the order may be carried out, also later. */
    UNKNOWN
}
