package org.skylarkbend.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.forwarding.AttemptMessage.Admitted;
import org.skylarkbend.forwarding.AttemptMessage.Cancelled;
import org.skylarkbend.forwarding.AttemptMessage.ConnectionLost;
import org.skylarkbend.forwarding.AttemptMessage.EndpointChosen;
import org.skylarkbend.forwarding.AttemptMessage.HeadReceived;
import org.skylarkbend.forwarding.AttemptMessage.NoEndpointLeft;
import org.skylarkbend.forwarding.AttemptMessage.NotConnected;
import org.skylarkbend.forwarding.AttemptMessage.ResponseReceived;
import org.skylarkbend.forwarding.AttemptMessage.Sending;
import org.skylarkbend.forwarding.AttemptMessage.SilenceTimedOut;

/**
 * Decides whether a failed attempt of a call is retried and which error the caller receives.
 *
 * <p>A call that is not idempotent is sent again only if no byte of the previous attempt can have
 * reached an endpoint, or if the endpoint refused the attempt before running it. The error states
 * that the call did not run only if that is true for every attempt. Messages of earlier attempts
 * are ignored.
 */
public final class AttemptDecider {
    private static final long EMPTY_BODY_BYTES = 0;

    private AttemptDecider() {}

    /**
     * Applies one message to the state of a call and returns the new state, the new retry budget
     * and the actions to take.
     */
    public static AttemptDecision decide(
            AttemptState state, RetryBudget budget, AttemptMessage message) {
        if (state.isEnded()) {
            return unchanged(state, budget);
        }
        if (message instanceof Admitted) {
            return choose(state, budget);
        }
        if (message instanceof EndpointChosen chosen) {
            return send(state, budget, chosen);
        }
        if (message instanceof NoEndpointLeft) {
            return fail(state, budget, ErrorKind.NO_ENDPOINT, "no live endpoint left to try");
        }
        if (message instanceof Cancelled) {
            return cancel(state, budget);
        }
        return decideOnAttempt(state, budget, message);
    }

    private static AttemptDecision decideOnAttempt(
            AttemptState state, RetryBudget budget, AttemptMessage message) {
        if (message instanceof NotConnected failure && isCurrent(state, failure.attempt())) {
            return retryNotRun(state, budget, ErrorKind.CONNECTION_FAILED, failure.cause());
        }
        if (message instanceof Sending sending && isCurrent(state, sending.attempt())) {
            return new AttemptDecision(state.withPhase(AttemptPhase.SENDING), budget, List.of());
        }
        if (message instanceof HeadReceived received && isCurrent(state, received.attempt())) {
            return handleHead(state, budget, received.head());
        }
        if (message instanceof ResponseReceived received && isCurrent(state, received.attempt())) {
            return handleResponse(state, budget, received.bodyBytes());
        }
        if (message instanceof ConnectionLost lost && isCurrent(state, lost.attempt())) {
            return retryIfIdempotent(state, budget, ErrorKind.ENDPOINT_FAILED, lost.cause());
        }
        if (message instanceof SilenceTimedOut silent && isCurrent(state, silent.attempt())) {
            return retryIfIdempotent(
                    state,
                    budget,
                    ErrorKind.ENDPOINT_TIMEOUT,
                    "the endpoint did not respond in time");
        }
        return unchanged(state, budget);
    }

    private static AttemptDecision choose(AttemptState state, RetryBudget budget) {
        if (state.phase() != AttemptPhase.WAITING) {
            return unchanged(state, budget);
        }
        return new AttemptDecision(
                state.withPhase(AttemptPhase.CHOOSING),
                budget.afterCall(),
                List.of(new AttemptEffect.ChooseEndpoint(state.tried())));
    }

    private static AttemptDecision send(
            AttemptState state, RetryBudget budget, EndpointChosen chosen) {
        if (state.phase() != AttemptPhase.CHOOSING) {
            return unchanged(state, budget);
        }
        AttemptState next = state.connectingTo(chosen.endpoint());
        AttemptEffect send =
                new AttemptEffect.Send(
                        next.attempt(), chosen.endpoint(), !next.mayReuseConnection());
        return new AttemptDecision(next, budget, List.of(send));
    }

    private static AttemptDecision handleHead(
            AttemptState state, RetryBudget budget, ResponseHead head) {
        if (!head.belongsTo(state.attempt())) {
            return retryIfIdempotent(
                    state,
                    budget,
                    ErrorKind.ENDPOINT_FAILED,
                    "received a response to another attempt");
        }
        if (head.isServerError() && head.saysNotRun()) {
            return retryNotRun(
                    state, budget, ErrorKind.ENDPOINT_REFUSED, "the endpoint refused the call");
        }
        if (head.isServerError() && state.traits().idempotent()) {
            return retryIfIdempotent(
                    state,
                    budget,
                    ErrorKind.ENDPOINT_FAILED,
                    "the endpoint returned status " + head.status());
        }
        if (head.impliesNotRun() && !head.saysNotRun() && !state.traits().idempotent()) {
            return retryIfIdempotent(
                    state,
                    budget,
                    ErrorKind.ENDPOINT_FAILED,
                    "the endpoint may have run the call and returned status " + head.status());
        }
        AttemptEffect read = new AttemptEffect.ReadBody(state.attempt());
        return new AttemptDecision(state.withPhase(AttemptPhase.RECEIVING), budget, List.of(read));
    }

    private static AttemptDecision handleResponse(
            AttemptState state, RetryBudget budget, long bodyBytes) {
        if (state.phase() != AttemptPhase.RECEIVING) {
            return retryIfIdempotent(
                    state,
                    budget,
                    ErrorKind.ENDPOINT_FAILED,
                    "received a response body without a head");
        }
        if (bodyBytes == EMPTY_BODY_BYTES && state.traits().isEmptyBodyFailure()) {
            return retryIfIdempotent(
                    state, budget, ErrorKind.ENDPOINT_FAILED, "received an empty response");
        }
        AttemptEffect deliver = new AttemptEffect.Deliver(state.attempt());
        return new AttemptDecision(state.withPhase(AttemptPhase.ENDED), budget, List.of(deliver));
    }

    private static AttemptDecision cancel(AttemptState state, RetryBudget budget) {
        return new AttemptDecision(
                state.withPhase(AttemptPhase.ENDED), budget, abortEffects(state));
    }

    private static AttemptDecision retryIfIdempotent(
            AttemptState state, RetryBudget budget, ErrorKind kind, String cause) {
        if (!state.traits().idempotent()) {
            return withFirstEffects(abortEffects(state), fail(state, budget, kind, cause));
        }
        AttemptState next = state.choosingAfterPossibleRun();
        return withFirstEffects(abortEffects(state), retry(next, budget, kind, cause));
    }

    private static AttemptDecision retryNotRun(
            AttemptState state, RetryBudget budget, ErrorKind kind, String cause) {
        AttemptState next = state.withPhase(AttemptPhase.CHOOSING);
        return withFirstEffects(abortEffects(state), retry(next, budget, kind, cause));
    }

    private static AttemptDecision retry(
            AttemptState choosing, RetryBudget budget, ErrorKind kind, String cause) {
        Optional<RetryBudget> remaining = budget.afterRetry();
        if (remaining.isEmpty()) {
            return fail(choosing, budget, kind, cause + "; the retry budget is used up");
        }
        AttemptEffect choose = new AttemptEffect.ChooseEndpoint(choosing.tried());
        return new AttemptDecision(choosing, remaining.get(), List.of(choose));
    }

    private static List<AttemptEffect> abortEffects(AttemptState state) {
        List<AttemptEffect> effects = new ArrayList<>();
        if (state.phase() == AttemptPhase.CONNECTING || state.mayHaveReachedEndpoint()) {
            effects.add(new AttemptEffect.Abandon(state.attempt()));
        }
        if (state.mayHaveReachedEndpoint() && state.traits().cancellable()) {
            effects.add(new AttemptEffect.Cancel(state.attempt(), state.endpoint().orElseThrow()));
        }
        return effects;
    }

    private static AttemptDecision withFirstEffects(
            List<AttemptEffect> first, AttemptDecision decision) {
        List<AttemptEffect> effects = new ArrayList<>(first);
        effects.addAll(decision.effects());
        return new AttemptDecision(decision.state(), decision.budget(), effects);
    }

    private static AttemptDecision fail(
            AttemptState state, RetryBudget budget, ErrorKind kind, String cause) {
        ErrorKind reportedKind = kind.unlessItMayHaveRun(state.mayHaveRun());
        AttemptEffect fail = new AttemptEffect.Fail(new SkylarkError(reportedKind, cause));
        return new AttemptDecision(state.withPhase(AttemptPhase.ENDED), budget, List.of(fail));
    }

    private static AttemptDecision unchanged(AttemptState state, RetryBudget budget) {
        return new AttemptDecision(state, budget, List.of());
    }

    private static boolean isCurrent(AttemptState state, AttemptId attempt) {
        return state.attempt().equals(attempt);
    }
}
