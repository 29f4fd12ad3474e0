package org.skylarkbend.explain;

import java.util.OptionalLong;

/**
 * A step of a story.
 *
 * @param role what the step is
 * @param timeMicroseconds time by the clock of the story, if the line has it
 * @param line line that says it
 */
public record StoryEntry(Role role, OptionalLong timeMicroseconds, LogLine line) {
    /** What a step of a story is. */
    public enum Role {
        /** The arrival of the call, computed from a line that says how old the call was. */
        ARRIVAL,
        /** A line about the call. */
        CALL,
        /** A line about a belief or a state of a process. */
        BELIEF,
        /** A warning or an error of a library. */
        LIBRARY
    }
}
