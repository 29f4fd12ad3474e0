package org.skylarkbend.router.forward;

import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.forwarding.RetryBudget;
import org.skylarkbend.forwarding.ledger.CallOutcome;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.router.Call;

/** Services and callbacks that the forwarding task provides to a running call. */
interface CallOwner {
    /** Chooses an endpoint for the next attempt, or returns empty if none is left. */
    Optional<Endpoint> choose(Call call, Set<ObjectName> tried);

    /** Returns the scope of the call's prefix cache entries. */
    String cacheScope(Call call);

    /** Called when an attempt is sent. */
    void sent(Call call, String attempt, ObjectName endpoint);

    /** Called when the first token of an attempt is received. */
    void firstTokenReceived(Call call, String attempt);

    /**
     * Called when an attempt received a complete response, with its number of cached prompt tokens.
     */
    void attemptSucceeded(String attempt, ObjectName endpoint, long cachedTokens);

    /**
     * Called when an attempt was aborted or its endpoint failed before the response was complete.
     */
    void attemptEnded(String attempt, ObjectName endpoint, boolean endpointFailed);

    /** Returns the retry budget of the router. */
    RetryBudget budget();

    /** Replaces the retry budget. */
    void replaceBudget(RetryBudget budget);

    /** Called when the call has ended. The status is 0 if there was no complete response. */
    void callEnded(ForwardCall call, CallOutcome outcome, int httpStatus);
}
