package org.skylarkbend.explain;

import java.util.Map;
import java.util.OptionalLong;

/** A line of a log. */
public sealed interface LogLine {
    /** Returns where the line comes from. */
    Origin origin();

    /**
     * A structured line.
     *
     * @param level level of the line
     * @param name name of the event
     * @param fields values by name, in the order of the line
     */
    record Event(Origin origin, String level, String name, Map<String, String> fields)
            implements LogLine {
        private static final String NONE = "-";

        /** Returns the value of a field, or {@code -} if it is absent. */
        public String text(String field) {
            return fields.getOrDefault(field, NONE);
        }

        /** Returns the value of a numeric field, or empty if it is absent or no number. */
        public OptionalLong number(String field) {
            try {
                return OptionalLong.of(Long.parseLong(text(field)));
            } catch (NumberFormatException e) {
                return OptionalLong.empty();
            }
        }
    }

    /** A line of a library, with time and level but no event. */
    record Library(Origin origin, String level, String text) implements LogLine {}

    /** A line of a stack trace, or an empty one. It belongs to the line before it. */
    record Continuation(Origin origin) implements LogLine {}

    /** A line that cannot be parsed. */
    record Unreadable(Origin origin, String text) implements LogLine {}
}
