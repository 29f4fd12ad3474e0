package org.skylarkbend.router.front;

import org.skylarkbend.router.forward.ResponseMessage;
import org.skylarkbend.router.link.ServingView;

/** Messages to the HTTP front. */
public sealed interface FrontMessage {
    /** A response, or a part of one, was received. */
    record ResponseReceived(ResponseMessage response) implements FrontMessage {}

    /** The serving view of the router has changed. */
    record ViewChanged(ServingView view) implements FrontMessage {}

    /** The limit owner is reachable: a message from it was received. */
    record LimitOwnerAvailable() implements FrontMessage {}

    /** Shuts down gracefully: accept no new calls, finish the running ones, then run the action. */
    record Drain(Runnable whenDrained) implements FrontMessage {}
}
