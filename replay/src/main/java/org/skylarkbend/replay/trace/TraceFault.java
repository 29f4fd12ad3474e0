package org.skylarkbend.replay.trace;

import org.skylarkbend.base.ObjectName;

/**
 * A fault during a trace.
 *
 * @param atMilliseconds start time from the beginning of the trace
 * @param kind kind of the fault
 * @param target endpoint or data centre that fails; ignored for a restart of all routers
 * @param lastsMilliseconds time until the engines start again
 */
public record TraceFault(
        long atMilliseconds, TraceFaultKind kind, ObjectName target, long durationMilliseconds) {}
