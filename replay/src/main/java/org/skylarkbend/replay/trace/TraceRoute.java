package org.skylarkbend.replay.trace;

import org.skylarkbend.base.ObjectName;

/**
 * A route in a trace.
 *
 * @param name name of the route
 * @param priority priority; 0 is the most urgent
 * @param deadlineMilliseconds maximum time to first token; later requests are refused
 */
public record TraceRoute(ObjectName name, int priority, long deadlineMilliseconds) {}
