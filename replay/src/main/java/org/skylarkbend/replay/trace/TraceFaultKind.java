package org.skylarkbend.replay.trace;

/** Kind of a fault in a trace. */
public enum TraceFaultKind {
    /** An engine loses its cache and fails its requests, and later restarts. */
    CRASH,
    /** All routers restart at the same time and lose their state. */
    HERD_RESTART,
    /** All engines of a data centre crash, and later restart with empty caches. */
    DATA_CENTRE_LOSS
}
