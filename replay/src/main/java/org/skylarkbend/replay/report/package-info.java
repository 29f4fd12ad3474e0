/** Measures of a replay, expected outcomes and report formats. */
package org.skylarkbend.replay.report;
