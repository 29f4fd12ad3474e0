package org.skylarkbend.catalog;

/** Repeatability of the calls of a route. */
public enum CallKind {
    /** Call that may run more than once. */
    REPEATABLE,
    /** Call that may run at most once. */
    ONCE,
    /**
     * Call whose response is a stream of events. It runs at most once unless the stream can be
     * resumed.
     */
    STREAM
}
