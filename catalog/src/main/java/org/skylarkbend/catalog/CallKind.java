package org.skylarkbend.catalog;

/** What may be done with the calls of a route. */
public enum CallKind {
    /** May run more than once. */
    REPEATABLE,
    /** May run once at most. */
    ONCE,
    /** Answers with a stream of events; runs once at most, unless its stream can be resumed. */
    STREAM
}
