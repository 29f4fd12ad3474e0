/** Replays a trace through the placement code and reports measures per policy. */
package org.skylarkbend.replay;
