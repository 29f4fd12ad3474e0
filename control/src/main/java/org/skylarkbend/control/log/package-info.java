/**
 * The replicated state of the control process, composed of one state machine per slice, and the
 * interface through which other tasks use the replicated log.
 */
package org.skylarkbend.control.log;
