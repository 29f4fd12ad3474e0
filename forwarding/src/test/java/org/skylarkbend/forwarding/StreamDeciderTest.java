package org.skylarkbend.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests streams over connections that randomly lose, repeat and truncate events. */
public class StreamDeciderTest {
    private static final int RUNS = 20_000;

    @Test
    public void theCallerGetsTheResponseInOrderAndWholeWhenItIsCalledComplete() {
        SeededRuns.forEachSeed(
                1,
                RUNS,
                seed -> {
                    Run run = new Run(seed);
                    run.simulate();
                    int delivered = run.mDelivered.size();
                    assertThat(run.mDelivered).isEqualTo(run.mResponse.subList(0, delivered));
                    if (run.mComplete) {
                        assertThat(delivered).isEqualTo(run.mResponse.size());
                    }
                    assertThat(run.mComplete || run.mFailed).isTrue();
                });
    }

    @Test
    public void aSecondRunThatAnswersDifferentlyEndsTheStreamWithAnError() {
        AttemptId first = new AttemptId("c", 1);
        StreamState state = StreamState.opening(first, true);
        state = StreamDecider.decide(state, event(first, 1, 7)).state();
        state = StreamDecider.decide(state, event(first, 2, 8)).state();
        StreamDecision restarted =
                StreamDecider.decide(state, new StreamMessage.ResumeRefused(first, "unknown"));
        assertThat(restarted.effects())
                .containsExactly(new StreamEffect.StartNewAttempt(first, "unknown"));
        state =
                StreamDecider.decide(restarted.state(), new StreamMessage.Opened(first.next()))
                        .state();
        state = StreamDecider.decide(state, event(first.next(), 1, 7)).state();
        StreamDecision differs = StreamDecider.decide(state, event(first.next(), 2, 9));
        assertThat(differs.effects()).singleElement().isInstanceOf(StreamEffect.Fail.class);
    }

    /** Guards against a stream that is ended although its silent connection is still open. */
    @Test
    public void aStreamThatCannotBeRepeatedWaitsForItsOpenConnectionWhenAResumeIsRefused() {
        AttemptId first = new AttemptId("c", 1);
        StreamState state = StreamState.opening(first, false);
        state = StreamDecider.decide(state, event(first, 1, 7)).state();
        StreamDecision open =
                StreamDecider.decide(
                        state, new StreamMessage.ResumeRefused(first, "unknown", true));
        assertThat(open.effects()).isEmpty();
        StreamDecision closed =
                StreamDecider.decide(
                        open.state(), new StreamMessage.ResumeRefused(first, "unknown", false));
        assertThat(closed.effects()).singleElement().isInstanceOf(StreamEffect.Fail.class);
    }

    @Test
    public void aSlowEngineThatTakesResumesIsAskedAgainWithoutEnd() {
        AttemptId first = new AttemptId("c", 1);
        StreamState state = StreamState.opening(first, false);
        for (int probe = 0; probe < 100; probe++) {
            StreamDecision decision =
                    StreamDecider.decide(state, new StreamMessage.SilenceTimedOut(first, true));
            assertThat(decision.effects()).containsExactly(new StreamEffect.Resume(first, 0));
            state = decision.state();
        }
    }

    private static StreamMessage event(AttemptId attempt, long position, long content) {
        return new StreamMessage.EventReceived(attempt, position, content, false);
    }

    /** Simulates one response over an unreliable connection. */
    private static final class Run {
        private static final int MAX_STEPS = 500;

        private final Random mRandom;
        private final boolean mRepeatable;
        private final List<Long> mResponse;
        private final List<Long> mDelivered = new ArrayList<>();
        private StreamState mState;
        private AttemptId mAttempt = new AttemptId("c", 1);
        private int mNext = 1;
        private long mOffered;
        private boolean mComplete;
        private boolean mFailed;

        Run(long seed) {
            mRandom = new Random(seed);
            mRepeatable = mRandom.nextBoolean();
            mResponse = LongStream.rangeClosed(1, 1 + mRandom.nextInt(8)).boxed().toList();
            mState = StreamState.opening(mAttempt, mRepeatable);
        }

        void simulate() {
            for (int step = 0; step < MAX_STEPS && !mComplete && !mFailed; step++) {
                step();
            }
            while (!mComplete && !mFailed) {
                apply(new StreamMessage.ResumeRefused(mAttempt, "the test gives up"));
                mFailed = true;
            }
        }

        private void step() {
            switch (mRandom.nextInt(8)) {
                case 0 -> apply(new StreamMessage.Interrupted(mAttempt, "cut"));
                case 1 -> mNext++;
                case 2 -> mNext = Math.max(1, mNext - 1);
                case 3 -> apply(new StreamMessage.SilenceTimedOut(mAttempt, mRandom.nextBoolean()));
                case 4 ->
                        apply(
                                new StreamMessage.EventReceived(
                                        new AttemptId("x", 1), mNext, 99, true));
                default -> offerNext();
            }
        }

        private void offerNext() {
            if (mNext > mResponse.size()) {
                apply(new StreamMessage.EndMarkerReceived(mAttempt));
                return;
            }
            mOffered = mResponse.get(mNext - 1);
            int position = mNext++;
            apply(
                    new StreamMessage.EventReceived(
                            mAttempt, position, mOffered, position == mResponse.size()));
        }

        private void apply(StreamMessage message) {
            StreamDecision decision = StreamDecider.decide(mState, message);
            mState = decision.state();
            decision.effects().forEach(this::applyEffect);
        }

        private void applyEffect(StreamEffect effect) {
            if (effect instanceof StreamEffect.DeliverEvent) {
                mDelivered.add(mOffered);
            } else if (effect instanceof StreamEffect.Resume resume) {
                mNext = (int) resume.afterPosition() + 1;
            } else if (effect instanceof StreamEffect.StartNewAttempt) {
                mAttempt = mAttempt.next();
                mNext = 1;
                mState = StreamDecider.decide(mState, new StreamMessage.Opened(mAttempt)).state();
            } else if (effect instanceof StreamEffect.CompleteResponse) {
                mComplete = true;
            } else {
                mFailed = true;
            }
        }
    }
}
