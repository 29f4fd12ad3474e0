package org.skylarkbend.explain;

/**
 * A warning or an error of a library in a process of the call.
 *
 * @param timeMicroseconds time by the clock of the story
 * @param line the line
 */
public record LibraryNote(long timeMicroseconds, LogLine.Library line) {}
