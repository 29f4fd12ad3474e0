package org.skylarkbend.agreement;

/** What a member that is about to end knows about its vote. */
public enum LeaveOutcome {
    /** The member is no voter, or no longer one. */
    REMOVED,

    /** The member is needed as a voter: its end is a loss until it starts again. */
    REMAINS,

    /** No leader has responded in time. */
    UNKNOWN
}
