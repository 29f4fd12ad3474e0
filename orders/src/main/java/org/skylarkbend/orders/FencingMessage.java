package org.skylarkbend.orders;

import org.skylarkbend.base.ObjectName;

/** A message in the log about fencing. */
public sealed interface FencingMessage {
    /** A leading control VM takes command. The result of applying it is the new fencing number. */
    record TakeCommand(ObjectName commander, long aboveFencingNumber) implements FencingMessage {}

    /** An endpoint has been found to check or to ignore fencing numbers. */
    record FencingRecorded(ObjectName endpoint, Fencing fencing) implements FencingMessage {}
}
