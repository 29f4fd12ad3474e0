package org.skylarkbend.explain;

/**
 * A line beside the call that says what a process believed.
 *
 * @param topic what the line is about
 * @param timeMicroseconds time by the clock of the story
 * @param line the line
 */
public record Belief(BeliefTopic topic, long timeMicroseconds, LogLine.Event line) {
    /** Returns the process that believed it. */
    public String process() {
        return line.origin().process();
    }
}
