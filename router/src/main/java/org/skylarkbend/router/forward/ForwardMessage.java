package org.skylarkbend.router.forward;

import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.link.ServingView;
import org.skylarkbend.router.watch.EndpointsView;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;

/** Messages to the forwarding task. */
public sealed interface ForwardMessage {
    /** A caller's request was accepted by the front. */
    record Submit(Call call) implements ForwardMessage {}

    /** The caller's exchange has ended, by its response or by a disconnect. */
    record CallerDisconnected(String call) implements ForwardMessage {}

    /** The write queue of the caller's connection is full. */
    record PauseReading(String call) implements ForwardMessage {}

    /** The write queue of the caller's connection has drained. */
    record ResumeReading(String call) implements ForwardMessage {}

    /** The serving view of the router has changed. */
    record ViewChanged(ServingView view) implements ForwardMessage {}

    /** A response of the call ledger was received. */
    record LedgerResponseReceived(LedgerMessage response) implements ForwardMessage {}

    /** The list of customers with an exhausted monthly grant has changed. */
    record GrantsChanged(GrantsUsedUp grants) implements ForwardMessage {}

    /** A message of the limit owner was received. */
    record LimitOwnerMessageReceived(LimitMessage message) implements ForwardMessage {}

    /** The router is shutting down and returns its unused rate limit tokens. */
    record ShuttingDown() implements ForwardMessage {}

    /** An engine stored or removed prefix cache blocks. */
    record CacheChanged(CacheEvent event) implements ForwardMessage {}

    /** The status of the endpoints has changed. */
    record EndpointsChanged(EndpointsView endpoints) implements ForwardMessage {}
}
