package org.skylarkbend.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.MoveMessage.Loaded;
import org.skylarkbend.moves.MoveMessage.OutcomesReported;
import org.skylarkbend.moves.MoveMessage.PlansPublished;
import org.skylarkbend.moves.MoveMessage.Restarted;
import org.skylarkbend.moves.MoveMessage.Tick;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.publishing.TrafficMove;

/**
 * Simulates a route whose traffic moves, with endpoints that load versions and requests that
 * succeed or fail.
 */
final class SimulatedRoute {
    static final double TRIAL_SHARE = 0.05;
    static final long COMPLETE_BY_MILLISECONDS = 600_000;
    static final long WATCH_MILLISECONDS = 120_000;

    private static final ObjectName MOVE = ObjectName.of("move");
    private static final long STEP_MILLISECONDS = 1_000;
    private static final int MIN_REQUESTS = 20;
    private static final int MAX_REQUESTS = 60;

    private final SplittableRandom mRandom;
    private final Behavior mNewVersion;
    private final MoveStateCodec mCodec = new MoveStateCodec();
    private final List<ObjectName> mEndpoints;
    private MoveState mState = MoveState.empty();
    private long mNowMilliseconds;
    private long mTakenOverAtMilliseconds = Long.MAX_VALUE;
    private long mNewRequests;
    private long mBadRequests;
    private double mLargestUnprovenShare;
    private int mMaxConcurrentLoads;

    /**
     * Quality of a version at a time, under a load given in requests per second, and at a share of
     * the traffic.
     */
    @FunctionalInterface
    interface Behavior {
        Quality at(long movingMilliseconds, int requestsPerSecond, double share);
    }

    /**
     * The probabilities of an error and of an empty response, and the factor by which the version
     * is slower.
     */
    record Quality(double errorRate, double emptyRate, double slowdown) {
        static final Quality GOOD = new Quality(0.01, 0.002, 1);
    }

    SimulatedRoute(long seed, int endpoints, Behavior newVersion) {
        mRandom = new SplittableRandom(seed);
        mNewVersion = newVersion;
        mEndpoints =
                IntStream.rangeClosed(1, endpoints)
                        .mapToObj(i -> ObjectName.of("engine-" + i))
                        .toList();
        TrafficMove move =
                new TrafficMove(
                        MOVE,
                        ObjectName.of("route"),
                        ObjectName.of("old"),
                        ObjectName.of("new"),
                        COMPLETE_BY_MILLISECONDS,
                        TRIAL_SHARE,
                        WATCH_MILLISECONDS);
        apply(
                new PlansPublished(
                        List.of(new MovePlan(move, mEndpoints, STEP_MILLISECONDS, List.of()))));
    }

    /**
     * Runs until the move has ended. The state is encoded and decoded at random times, as when a
     * new commander takes over.
     */
    MoveProgress run() {
        long limitMilliseconds = COMPLETE_BY_MILLISECONDS + 2 * WATCH_MILLISECONDS;
        while (!progress().phase().isFinal() && mNowMilliseconds < limitMilliseconds) {
            mNowMilliseconds += STEP_MILLISECONDS;
            step();
        }
        return progress();
    }

    long takenOverAtMilliseconds() {
        return mTakenOverAtMilliseconds;
    }

    double largestUnprovenShare() {
        return mLargestUnprovenShare;
    }

    int maxConcurrentLoads() {
        return mMaxConcurrentLoads;
    }

    /** Returns the number of requests sent to the new version while it was bad. */
    long badRequests() {
        return mBadRequests;
    }

    MoveState state() {
        return mState;
    }

    private MoveProgress progress() {
        return mState.moves().get(MOVE);
    }

    private void step() {
        if (mRandom.nextInt(5) == 0) {
            mState =
                    mCodec.decode(mCodec.encode(mState))
                            .fold(
                                    decoded -> decoded,
                                    error -> {
                                        throw new AssertionError(error.detail());
                                    });
        }
        if (mRandom.nextInt(200) == 0) {
            apply(new Restarted(mEndpoints.get(mRandom.nextInt(mEndpoints.size()))));
        }
        List<MoveEffect> loads =
                MoveDecider.effects(mState).stream()
                        .filter(MoveEffect.Load.class::isInstance)
                        .toList();
        mMaxConcurrentLoads = Math.max(mMaxConcurrentLoads, loads.size());
        for (MoveEffect effect : loads) {
            if (mRandom.nextBoolean()) {
                MoveEffect.Load load = (MoveEffect.Load) effect;
                apply(new Loaded(load.endpoint(), load.version()));
            }
        }
        apply(new OutcomesReported(List.of(window())));
        apply(new Tick());
    }

    private void apply(MoveMessage message) {
        mState = MoveDecider.decide(mState, message, mNowMilliseconds);
        MoveProgress progress = progress();
        if (!progress.evaluation().isProven()) {
            mLargestUnprovenShare = Math.max(mLargestUnprovenShare, progress.share());
        }
        if (progress.phase() == MovePhase.WATCHING) {
            mTakenOverAtMilliseconds = Math.min(mTakenOverAtMilliseconds, mNowMilliseconds);
        }
    }

    private OutcomeWindow window() {
        double share = progress().share();
        int requests = mRandom.nextInt(MIN_REQUESTS, MAX_REQUESTS);
        int toNew = 0;
        for (int i = 0; i < requests; i++) {
            toNew += mRandom.nextDouble() < share ? 1 : 0;
        }
        long movingMilliseconds =
                progress().phase() == MovePhase.WAITING
                        ? 0
                        : mNowMilliseconds - progress().phaseSinceEpochMilliseconds();
        long sinceTakeover = progress().phase() == MovePhase.WATCHING ? movingMilliseconds : 0;
        Quality quality = mNewVersion.at(sinceTakeover, requests, share);
        mNewRequests += toNew;
        if (!quality.equals(Quality.GOOD)) {
            mBadRequests += toNew;
        }
        double load = (double) requests / MIN_REQUESTS;
        return new OutcomeWindow(
                ObjectName.of("route"),
                outcomes(requests - toNew, Quality.GOOD, load),
                outcomes(toNew, quality, load));
    }

    private Outcomes outcomes(int requests, Quality quality, double load) {
        int errors = 0;
        int emptyResponses = 0;
        List<Integer> counts = new ArrayList<>(Outcomes.none().firstTokenCounts());
        for (int i = 0; i < requests; i++) {
            double sample = mRandom.nextDouble();
            if (sample < quality.errorRate()) {
                errors++;
            } else if (sample < quality.errorRate() + quality.emptyRate()) {
                emptyResponses++;
            } else {
                double milliseconds = 100 * load * quality.slowdown() * latencyFactor();
                int bucketIndex = bucketIndex(milliseconds);
                counts.set(bucketIndex, counts.get(bucketIndex) + 1);
            }
        }
        return new Outcomes(requests, errors, emptyResponses, counts);
    }

    /** Returns a random long-tailed factor around 1. */
    private double latencyFactor() {
        double sum = 0;
        for (int i = 0; i < 12; i++) {
            sum += mRandom.nextDouble();
        }
        return Math.exp(0.5 * (sum - 6));
    }

    private static int bucketIndex(double milliseconds) {
        List<Long> bounds = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS;
        int bucketIndex = 0;
        while (bucketIndex < bounds.size() && milliseconds > bounds.get(bucketIndex)) {
            bucketIndex++;
        }
        return bucketIndex;
    }
}
