package org.skylarkbend.membership;

/** Condition of an endpoint, which determines whether it receives new work. */
public enum EndpointCondition {
    /** The endpoint may receive new work. */
    LIVE,
    /** The endpoint failed recently and receives new work only when no live endpoint is left. */
    SUSPECT,
    /** The endpoint finishes its current work and receives no new work. */
    LEAVING,
    /** The endpoint has been silent for longer than the dead timeout. */
    DEAD;

    /** Returns whether the endpoint may be chosen when no live one is left. */
    public boolean isSelectable() {
        return this == LIVE || this == SUSPECT;
    }
}
