package org.skylarkbend.router.watch;

import org.skylarkbend.base.ObjectName;
import org.skylarkbend.router.link.ServingView;

/** Messages to the endpoint watch task. */
public sealed interface WatchMessage {
    /** The serving view of the router has changed. */
    record ViewChanged(ServingView view) implements WatchMessage {}

    /** An attempt received a response from the endpoint, or failed. */
    record AttemptEnded(ObjectName endpoint, boolean responded) implements WatchMessage {}
}
