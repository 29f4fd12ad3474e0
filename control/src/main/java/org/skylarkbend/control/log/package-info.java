/**
 * The replicated state of the control process, composed of one state machine per slice, and the
 * interface through which other tasks use the replicated log.
 *
 * <p>Log entries, snapshots and feed messages carry the name of their slice.
 */
package org.skylarkbend.control.log;
