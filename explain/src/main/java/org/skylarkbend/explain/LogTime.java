package org.skylarkbend.explain;

import java.util.OptionalLong;

/**
 * Times of a line.
 *
 * @param simulatedMicroseconds simulated time, if the line has it
 * @param wallMicroseconds time of the process's own clock since 1970, if the line has it
 */
public record LogTime(OptionalLong simulatedMicroseconds, OptionalLong wallMicroseconds) {}
