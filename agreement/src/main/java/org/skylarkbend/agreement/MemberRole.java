package org.skylarkbend.agreement;

/** The role of a member. */
public enum MemberRole {
    /** Receives entries from a leader, or waits for one. */
    FOLLOWER,
    /** Requests pre-votes from the other members. */
    PRE_CANDIDATE,
    /** Requests votes from the other members. */
    CANDIDATE,
    /** Replicates entries to the other members. */
    LEADER
}
