package org.skylarkbend.orders;

/** Fencing behavior of an endpoint: the treatment of orders with an old fencing number. */
public enum Fencing {
    /** Not determined yet. The endpoint is treated as one that ignores the number. */
    UNKNOWN,
    /** The endpoint refuses such orders. */
    CHECKED,
    /** The endpoint executes such orders. */
    IGNORED
}
