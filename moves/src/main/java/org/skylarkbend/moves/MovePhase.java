package org.skylarkbend.moves;

/** Phase of a move. */
public enum MovePhase {
    /** It is too early to begin. */
    WAITING,
    /** The new version is being loaded and receives a growing share of the traffic. */
    MOVING,
    /** The new version has taken over and is monitored; the old one is still loaded. */
    WATCHING,
    /** The new version has passed the monitoring period. */
    DONE,
    /** The new version was rolled back. */
    UNDONE;

    /** Returns the name of this phase in responses to operators. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Returns whether this phase is final. */
    public boolean isFinal() {
        return this == DONE || this == UNDONE;
    }
}
