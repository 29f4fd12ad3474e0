package org.skylarkbend.orders;

/** Kind of an order to an endpoint. */
public enum OrderKind {
    /** Load a version in addition to those already loaded. */
    LOAD_VERSION,
    /** Unload a version. */
    UNLOAD_VERSION;

    /** Returns the name of this kind in an order. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
