package org.skylarkbend.limits;

import java.util.List;

/** Input of the limit decisions of a router. */
public sealed interface LimitShareMessage {
    /**
     * A call reserves the upper bound of the tokens that it may use.
     *
     * @param callId the ID of the call within this incarnation of the router
     * @param customer the customer whose tokens it uses
     * @param tokens the prompt tokens plus the maximum number of answer tokens
     */
    record Reserve(long callId, org.skylarkbend.base.ObjectName customer, long tokens)
            implements LimitShareMessage {}

    /**
     * Part of a reservation has been used. Must not be sent before the endpoint has shown that it
     * did the work: for prompt tokens, with the first token of the response. Used tokens no longer
     * count against the burst.
     */
    record Spend(long callId, long tokens) implements LimitShareMessage {}

    /** The call has ended or was abandoned; its unused tokens are free again. */
    record Release(long callId) implements LimitShareMessage {}

    /** A message from an owner arrived. */
    record OwnerMessageReceived(LimitMessage message) implements LimitShareMessage {}

    /** The complete list of published limits. */
    record LimitsPublished(List<CustomerLimit> limits) implements LimitShareMessage {
        /** Copies the list. */
        public LimitsPublished {
            limits = List.copyOf(limits);
        }
    }

    /** The VM was suspended for a time that the clock of the router did not count. */
    record Suspended(long milliseconds) implements LimitShareMessage {}

    /** The router is shutting down and returns all tokens that no call needs. */
    record ShutDown() implements LimitShareMessage {}

    /** The requested wake-up time has been reached. */
    record Wake() implements LimitShareMessage {}
}
