package org.skylarkbend.explain;

/**
 * Where a line comes from.
 *
 * @param process name of the machine in front of the line, else the name of the file
 * @param file name of the file
 * @param lineNumber number of the line in the file, from 1
 * @param time times of the line
 */
public record Origin(String process, String file, long lineNumber, LogTime time) {}
