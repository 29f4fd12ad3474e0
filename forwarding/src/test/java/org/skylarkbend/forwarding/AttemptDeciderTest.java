package org.skylarkbend.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.RunState;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.publishing.EndpointKind;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests the attempts of one call against endpoints with random failures. */
public class AttemptDeciderTest {
    private static final int RUNS = 20_000;
    private static final CallTraits BOOKING = new CallTraits(EndpointKind.SERVICE, false);
    private static final CallTraits STOCK = new CallTraits(EndpointKind.SERVICE, true);
    private static final CallTraits CHAT = new CallTraits(EndpointKind.ENGINE, true);

    @Test
    public void aCallThatMustNotRepeatReachesAtMostOneEndpointAndNotRunIsTrue() {
        SeededRuns.forEachSeed(1, RUNS, seed -> check(new Run(seed, BOOKING)));
    }

    @Test
    public void anIdempotentCallIsToldNotRunOnlyWhenItDidNotRun() {
        SeededRuns.forEachSeed(1, RUNS, seed -> check(new Run(seed, STOCK)));
        SeededRuns.forEachSeed(1, RUNS, seed -> check(new Run(seed, CHAT)));
    }

    private static void check(Run run) {
        run.simulate();
        assertThat(run.mState.isEnded()).isTrue();
        assertThat(run.mOutcomes).isEqualTo(1);
        if (!run.mState.traits().idempotent()) {
            assertThat(run.mPossibleRuns).isLessThanOrEqualTo(1);
        }
        if (run.mError.isPresent() && run.mError.get().kind().runState() == RunState.NOT_RUN) {
            assertThat(run.mPossibleRuns).isZero();
        }
        assertThat(run.mRetries)
                .isLessThanOrEqualTo(run.mBudgetAtStart / RetryBudget.CALLS_PER_RETRY);
    }

    @Test
    public void theRetryBudgetAllowsOneRetryForTenCalls() {
        RetryBudget budget = new RetryBudget(0);
        for (int call = 0; call < RetryBudget.CALLS_PER_RETRY - 1; call++) {
            budget = budget.afterCall();
            assertThat(budget.afterRetry()).isEmpty();
        }
        assertThat(budget.afterCall().afterRetry()).contains(new RetryBudget(0));
        assertThat(RetryBudget.full().afterCall()).isEqualTo(RetryBudget.full());
    }

    @Test
    public void aResponseToAnotherAttemptIsNeverDelivered() {
        AttemptId first = new AttemptId("c", 1);
        AttemptState sending = sending(BOOKING);
        ResponseHead foreign = new ResponseHead(200, Optional.of("other.1"), false);
        AttemptDecision decision =
                AttemptDecider.decide(
                        sending,
                        RetryBudget.full(),
                        new AttemptMessage.HeadReceived(first, foreign));
        assertThat(decision.effects())
                .contains(new AttemptEffect.Abandon(first))
                .noneMatch(AttemptEffect.ReadBody.class::isInstance);
        assertThat(errorIn(decision)).contains(ErrorKind.ENDPOINT_FAILED);
    }

    @Test
    public void theLossOfAReusedConnectionMayBeRetriedAtTheSameEndpointOnANewOne() {
        AttemptId first = new AttemptId("c", 1);
        AttemptDecision decision =
                AttemptDecider.decide(
                        sending(STOCK),
                        RetryBudget.full(),
                        new AttemptMessage.ConnectionLost(first, "reset"));
        assertThat(decision.state().tried()).isEmpty();
        AttemptDecision again =
                AttemptDecider.decide(
                        decision.state(),
                        decision.budget(),
                        new AttemptMessage.EndpointChosen(ObjectName.of("e0")));
        assertThat(again.effects())
                .containsExactly(new AttemptEffect.Send(first.next(), ObjectName.of("e0"), true));
    }

    private static AttemptState sending(CallTraits traits) {
        AttemptState state = AttemptState.waiting("c", traits);
        List<AttemptMessage> messages =
                List.of(
                        new AttemptMessage.Admitted(),
                        new AttemptMessage.EndpointChosen(ObjectName.of("e0")),
                        new AttemptMessage.Sending(new AttemptId("c", 1)));
        for (AttemptMessage message : messages) {
            state = AttemptDecider.decide(state, RetryBudget.full(), message).state();
        }
        return state;
    }

    private static Optional<ErrorKind> errorIn(AttemptDecision decision) {
        return decision.effects().stream()
                .filter(AttemptEffect.Fail.class::isInstance)
                .map(effect -> ((AttemptEffect.Fail) effect).error().kind())
                .findFirst();
    }

    /** Simulates one call with random failures, and counts the attempts that may have run. */
    private static final class Run {
        private static final int ENDPOINTS = 3;

        private final Random mRandom;
        private final List<AttemptMessage> mPending = new ArrayList<>();
        private final int mBudgetAtStart;
        private AttemptState mState;
        private RetryBudget mBudget;
        private Optional<SkylarkError> mError = Optional.empty();
        private int mPossibleRuns;
        private int mRetries;
        private int mOutcomes;

        Run(long seed, CallTraits traits) {
            mRandom = new Random(seed);
            mState = AttemptState.waiting("c" + seed, traits);
            mBudget = new RetryBudget(mRandom.nextInt(4 * RetryBudget.CALLS_PER_RETRY));
            mBudgetAtStart = mBudget.afterCall().credit();
        }

        void simulate() {
            apply(new AttemptMessage.Admitted());
            while (!mPending.isEmpty()) {
                apply(mPending.remove(mRandom.nextInt(mPending.size())));
            }
        }

        private void apply(AttemptMessage message) {
            AttemptDecision decision = AttemptDecider.decide(mState, mBudget, message);
            mRetries += decision.budget().credit() < mBudget.credit() ? 1 : 0;
            mState = decision.state();
            mBudget = decision.budget();
            decision.effects().forEach(this::applyEffect);
        }

        private void applyEffect(AttemptEffect effect) {
            if (effect instanceof AttemptEffect.ChooseEndpoint choose) {
                choose(choose);
            } else if (effect instanceof AttemptEffect.Send send) {
                send(send.attempt());
            } else if (effect instanceof AttemptEffect.Deliver) {
                mOutcomes++;
            } else if (effect instanceof AttemptEffect.Fail fail) {
                mOutcomes++;
                mError = Optional.of(fail.error());
            }
        }

        private void choose(AttemptEffect.ChooseEndpoint choose) {
            Optional<ObjectName> free =
                    java.util.stream.IntStream.range(0, ENDPOINTS)
                            .mapToObj(i -> ObjectName.of("e" + i))
                            .filter(name -> !choose.tried().contains(name))
                            .findFirst();
            mPending.add(
                    free.isPresent()
                            ? new AttemptMessage.EndpointChosen(free.get())
                            : new AttemptMessage.NoEndpointLeft());
        }

        private void send(AttemptId attempt) {
            if (mRandom.nextInt(4) == 0) {
                mPending.add(new AttemptMessage.NotConnected(attempt, "refused"));
                return;
            }
            apply(new AttemptMessage.Sending(attempt));
            boolean refuses = mRandom.nextInt(4) == 0;
            mPossibleRuns += refuses ? 0 : 1;
            respond(attempt, refuses);
        }

        private void respond(AttemptId attempt, boolean refuses) {
            if (refuses) {
                apply(head(attempt, 503, attempt.value(), true));
                return;
            }
            switch (mRandom.nextInt(6)) {
                case 0 -> mPending.add(new AttemptMessage.ConnectionLost(attempt, "reset"));
                case 1 -> mPending.add(new AttemptMessage.SilenceTimedOut(attempt));
                case 2 -> mPending.add(head(attempt, 200, "foreign.1", false));
                case 3 -> {
                    apply(head(attempt, 500, attempt.value(), false));
                    mPending.add(new AttemptMessage.ResponseReceived(attempt, 3));
                }
                default -> {
                    apply(head(attempt, 200, attempt.value(), false));
                    mPending.add(new AttemptMessage.ResponseReceived(attempt, mRandom.nextInt(2)));
                }
            }
            mPending.add(new AttemptMessage.ConnectionLost(attempt, "late"));
        }

        private static AttemptMessage head(
                AttemptId attempt, int status, String echoed, boolean notRun) {
            return new AttemptMessage.HeadReceived(
                    attempt, new ResponseHead(status, Optional.of(echoed), notRun));
        }
    }
}
