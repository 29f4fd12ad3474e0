package org.skylarkbend.moves;

import org.skylarkbend.base.ObjectName;

/**
 * An action that the commander has to execute. Effects follow from the state alone and may be
 * executed repeatedly, so that a new commander continues from the point that the former one
 * reached.
 */
public sealed interface MoveEffect {
    /** The endpoint must have the version loaded. */
    record Load(ObjectName endpoint, ObjectName version) implements MoveEffect {}

    /** The endpoint must not have the version loaded. */
    record Unload(ObjectName endpoint, ObjectName version) implements MoveEffect {}

    /**
     * The routers must send this share of a route's requests to the new version and the rest to the
     * old one.
     */
    record Share(ObjectName route, ObjectName from, ObjectName to, double toShare)
            implements MoveEffect {}
}
