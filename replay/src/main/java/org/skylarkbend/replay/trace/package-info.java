/** Recorded traffic, its reader and writer, and a generator of traces. */
package org.skylarkbend.replay.trace;
