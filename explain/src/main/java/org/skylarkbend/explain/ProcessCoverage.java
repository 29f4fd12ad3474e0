package org.skylarkbend.explain;

/**
 * How far the log of a process reaches.
 *
 * @param process name of the process
 * @param linesInWindow lines in the time that the story looks at
 * @param isControl true if the process has written a line that only control writes
 */
public record ProcessCoverage(String process, long linesInWindow, boolean isControl) {}
