package org.skylarkbend.explain;

import java.util.List;

/**
 * A line that decided an outcome.
 *
 * @param line the line
 * @param fields names of the fields that decided it; empty for all fields
 */
public record Evidence(LogLine line, List<String> fields) {
    static Evidence of(LogLine line, String... fields) {
        return new Evidence(line, List.of(fields));
    }
}
