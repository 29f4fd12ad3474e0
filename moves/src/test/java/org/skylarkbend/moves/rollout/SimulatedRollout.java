package org.skylarkbend.moves.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.OutcomeWindow;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;

/**
 * Simulates the calls of a service with two routes during a rollout. Calls are reported when they
 * are sent and again when they end, with the delay of a gateway's report.
 */
final class SimulatedRollout {
    static final ExposureLimit LIMIT = new ExposureLimit(0.1, 50);
    static final long DURATION_MILLISECONDS = 14_000;

    private static final long STEP_MILLISECONDS = 50;
    private static final long DECISION_MILLISECONDS = 250;
    private static final long REPORT_DELAY_MILLISECONDS = 300;
    private static final long LISTED_AFTER_MILLISECONDS = 2_000;
    private static final long USUAL_MILLISECONDS = 200;
    private static final double USUAL_ERROR_RATE = 0.02;

    private final SplittableRandom mRandom;
    private final double mCallsPerSecond;
    private final Behavior mNewVersion;
    private final long mLeaderLostMilliseconds;
    private final Trouble mTrouble;
    private final PriorityQueue<Report> mReports =
            new PriorityQueue<>(
                    (one, other) -> Long.compare(one.atMilliseconds, other.atMilliseconds));
    private RolloutState mState = RolloutState.empty();
    private RolloutJudge mJudge;
    private double mShare;
    private long mSent;
    private long mSentToVersion;
    private long mBadAnswers;
    private long mFiftiethBadMilliseconds = Long.MAX_VALUE;
    private long mLastSentToVersionMilliseconds;
    private long mCallsAtOthers;
    private long mTroubleBeganMilliseconds = Long.MAX_VALUE / 2;

    /** Whether a call of the new version fails or is slow. */
    @FunctionalInterface
    interface Behavior {
        Quality at(long milliseconds, int route, double share);
    }

    /** Probability of a failure, and the factor by which responses are slower. */
    record Quality(double errorRate, double slowRate) {
        static final Quality GOOD = new Quality(USUAL_ERROR_RATE, 0);
    }

    /**
     * What goes wrong from the moment at which the version first has more than a share of the
     * calls.
     *
     * @param beginsAboveShare the share
     * @param silent whether the endpoints of the version send nothing from then on
     * @param lateMilliseconds the time for which all gateways send no reports
     */
    record Trouble(double beginsAboveShare, boolean silent, long lateMilliseconds) {
        static final Trouble NONE = new Trouble(1, false, 0);
    }

    private record Report(
            long atMilliseconds,
            RolloutOutcomes outcomes,
            boolean endsAtOther,
            boolean endsAtVersion) {
        Report later(long milliseconds) {
            return new Report(atMilliseconds + milliseconds, outcomes, endsAtOther, endsAtVersion);
        }
    }

    SimulatedRollout(
            long seed, double callsPerSecond, long leaderLostMilliseconds, Behavior newVersion) {
        this(seed, callsPerSecond, leaderLostMilliseconds, newVersion, Trouble.NONE);
    }

    SimulatedRollout(
            long seed,
            double callsPerSecond,
            long leaderLostMilliseconds,
            Behavior newVersion,
            Trouble trouble) {
        mTrouble = trouble;
        mRandom = new SplittableRandom(seed);
        mCallsPerSecond = callsPerSecond;
        mLeaderLostMilliseconds = leaderLostMilliseconds;
        mNewVersion = newVersion;
    }

    /** Runs until the time by which the rollout has to be completed, and returns its state. */
    Rollout run() {
        mState = apply(new RolloutMessage.Ordered("desk", "v2", DURATION_MILLISECONDS), 0);
        mJudge = new RolloutJudge(rollout(), LIMIT, true, 0, 0);
        for (long now = 0; now <= DURATION_MILLISECONDS; now += STEP_MILLISECONDS) {
            send(now);
            deliver(now);
            if (now == mLeaderLostMilliseconds) {
                mJudge = new RolloutJudge(rollout(), LIMIT, false, 0, now);
            }
            if (now % DECISION_MILLISECONDS == 0) {
                decide(now);
            }
        }
        return rollout();
    }

    /** Returns the calls that the new version got beyond its limit; 0 if it kept to it. */
    long callsBeyondLimit() {
        return Math.max(0, mSentToVersion - (long) (LIMIT.share() * mSent) - LIMIT.calls());
    }

    /** Returns the time for which the version got calls after its 50th bad answer. */
    long servedAfterFiftiethBadMilliseconds() {
        return Math.max(0, mLastSentToVersionMilliseconds - mFiftiethBadMilliseconds);
    }

    /** Returns when the trouble began, or a time after the end if it did not. */
    long troubleBeganMilliseconds() {
        return mTroubleBeganMilliseconds;
    }

    private Rollout rollout() {
        return mState.of("desk").orElseThrow();
    }

    private RolloutState apply(RolloutMessage message, long nowMilliseconds) {
        return mState.after(message, nowMilliseconds).fold(next -> next, error -> mState);
    }

    private void decide(long nowMilliseconds) {
        if (rollout().phase().isFinal()) {
            return;
        }
        mJudge.update(rollout(), nowMilliseconds);
        RolloutFleet fleet =
                new RolloutFleet(
                        nowMilliseconds >= LISTED_AFTER_MILLISECONDS,
                        Set.of("v1"),
                        mCallsAtOthers,
                        nowMilliseconds);
        RolloutDecision decision = mJudge.decide(fleet, nowMilliseconds);
        mShare = decision.share();
        if (mShare > mTrouble.beginsAboveShare()) {
            mTroubleBeganMilliseconds = Math.min(mTroubleBeganMilliseconds, nowMilliseconds);
        }
        decision.advance().ifPresent(advance -> mState = apply(advance, nowMilliseconds));
    }

    private void send(long nowMilliseconds) {
        double expected = mCallsPerSecond * STEP_MILLISECONDS / 1_000;
        int calls = (int) expected + (mRandom.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < calls; i++) {
            boolean toVersion =
                    nowMilliseconds >= LISTED_AFTER_MILLISECONDS && mRandom.nextDouble() < mShare;
            call(mRandom.nextInt(2), toVersion, nowMilliseconds);
        }
    }

    private void call(int route, boolean toVersion, long nowMilliseconds) {
        mSent++;
        Quality quality = toVersion ? mNewVersion.at(nowMilliseconds, route, mShare) : Quality.GOOD;
        boolean fails = mRandom.nextDouble() < quality.errorRate();
        boolean isSlow = mRandom.nextDouble() < quality.slowRate();
        long firstMilliseconds =
                (long) (USUAL_MILLISECONDS * (0.5 + mRandom.nextDouble()) * (isSlow ? 6 : 1));
        long endMilliseconds = nowMilliseconds + 2 * firstMilliseconds;
        if (toVersion) {
            mSentToVersion++;
            mLastSentToVersionMilliseconds = nowMilliseconds;
            if (!quality.equals(Quality.GOOD) && (fails || isSlow) && ++mBadAnswers == 50) {
                mFiftiethBadMilliseconds = endMilliseconds;
            }
        } else {
            mCallsAtOthers++;
        }
        mReports.add(
                new Report(
                        nowMilliseconds + REPORT_DELAY_MILLISECONDS,
                        new RolloutOutcomes(
                                "desk", "v2", toVersion ? 0 : 1, toVersion ? 1 : 0, List.of()),
                        false,
                        false));
        mReports.add(
                new Report(
                        endMilliseconds + REPORT_DELAY_MILLISECONDS,
                        new RolloutOutcomes(
                                "desk",
                                "v2",
                                0,
                                0,
                                List.of(window(route, toVersion, fails, firstMilliseconds))),
                        !toVersion,
                        toVersion));
    }

    private void deliver(long nowMilliseconds) {
        while (!mReports.isEmpty() && mReports.peek().atMilliseconds <= nowMilliseconds) {
            Report report = mReports.remove();
            long knownMilliseconds = report.atMilliseconds - REPORT_DELAY_MILLISECONDS;
            long troubledMilliseconds = knownMilliseconds - mTroubleBeganMilliseconds;
            boolean isSilent = mTrouble.silent() && report.endsAtVersion;
            if (troubledMilliseconds >= 0 && isSilent) {
                continue;
            }
            if (troubledMilliseconds >= 0 && troubledMilliseconds < mTrouble.lateMilliseconds()) {
                mReports.add(report.later(mTrouble.lateMilliseconds() - troubledMilliseconds));
                continue;
            }
            mJudge.add(report.outcomes);
            mCallsAtOthers -= report.endsAtOther ? 1 : 0;
        }
    }

    private static OutcomeWindow window(
            int route, boolean toVersion, boolean fails, long firstMilliseconds) {
        List<Integer> counts = new ArrayList<>(Outcomes.none().firstTokenCounts());
        int index = 0;
        while (index < Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS.size()
                && firstMilliseconds > Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS.get(index)) {
            index++;
        }
        if (!fails) {
            counts.set(index, 1);
        }
        Outcomes outcome = new Outcomes(1, fails ? 1 : 0, 0, counts);
        return new OutcomeWindow(
                ObjectName.of("route-" + route),
                toVersion ? Outcomes.none() : outcome,
                toVersion ? outcome : Outcomes.none());
    }
}
