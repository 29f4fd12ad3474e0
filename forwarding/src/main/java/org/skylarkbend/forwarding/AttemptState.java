package org.skylarkbend.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;

/**
 * State of a call and of its current attempt.
 *
 * @param attempt the current or last attempt
 * @param phase the phase of that attempt
 * @param traits the properties of the call that determine its retries
 * @param endpoint the endpoint of the attempt
 * @param tried the endpoints that must not be tried again
 * @param mayHaveRun true if an earlier attempt may have run
 */
public record AttemptState(
        AttemptId attempt,
        AttemptPhase phase,
        CallTraits traits,
        Optional<ObjectName> endpoint,
        Set<ObjectName> tried,
        boolean mayHaveRun) {
    /** Copies the set of tried endpoints. */
    public AttemptState {
        tried = Set.copyOf(tried);
    }

    /** Returns the state of a call that has not been sent. */
    public static AttemptState waiting(String call, CallTraits traits) {
        return new AttemptState(
                new AttemptId(call, 0),
                AttemptPhase.WAITING,
                traits,
                Optional.empty(),
                Set.of(),
                false);
    }

    /** Returns whether the call has ended. */
    public boolean isEnded() {
        return phase == AttemptPhase.ENDED;
    }

    /** Returns whether bytes of the current attempt may have reached its endpoint. */
    public boolean mayHaveReachedEndpoint() {
        return phase == AttemptPhase.SENDING || phase == AttemptPhase.RECEIVING;
    }

    /** Returns whether any attempt of the call, including the current one, may have run. */
    public boolean anyMayHaveRun() {
        return mayHaveRun || mayHaveReachedEndpoint();
    }

    /**
     * Returns whether the current attempt may be sent on a reused connection. This applies only to
     * the first attempt of an idempotent call.
     */
    public boolean mayReuseConnection() {
        return traits.idempotent() && attempt.number() == 1;
    }

    AttemptState withPhase(AttemptPhase next) {
        return new AttemptState(attempt, next, traits, endpoint, tried, mayHaveRun);
    }

    AttemptState connectingTo(ObjectName chosen) {
        Set<ObjectName> all = new HashSet<>(tried);
        all.add(chosen);
        return new AttemptState(
                attempt.next(),
                AttemptPhase.CONNECTING,
                traits,
                Optional.of(chosen),
                all,
                mayHaveRun);
    }

    AttemptState choosingAfterPossibleRun() {
        return new AttemptState(
                attempt, AttemptPhase.CHOOSING, traits, endpoint, triedForRetry(), true);
    }

    /** The loss of a reused connection does not exclude its endpoint: a retry may use a new one. */
    private Set<ObjectName> triedForRetry() {
        if (!mayReuseConnection() || phase != AttemptPhase.SENDING) {
            return tried;
        }
        Set<ObjectName> others = new HashSet<>(tried);
        endpoint.ifPresent(others::remove);
        return others;
    }
}
