package org.skylarkbend.placement;

/** The kind of change that a cache event reports. */
public enum CacheEventKind {
    /** The engine has stored the blocks. */
    STORED,
    /** The engine has evicted the blocks. */
    REMOVED,
    /** The engine has evicted all blocks of all scopes. */
    CLEARED
}
