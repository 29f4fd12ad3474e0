package org.skylarkbend.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.MoveMessage.Loaded;
import org.skylarkbend.moves.MoveMessage.Observed;
import org.skylarkbend.moves.MoveMessage.Published;
import org.skylarkbend.moves.MoveMessage.Restarted;
import org.skylarkbend.moves.MoveMessage.Tick;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.publishing.TrafficMove;

/** A route whose traffic moves: endpoints that load, and requests that end well or badly. */
final class MovedRoute {
    static final double TRIAL_SHARE = 0.05;
    static final long COMPLETE_BY_MILLISECONDS = 600_000;
    static final long WATCH_MILLISECONDS = 120_000;

    private static final ObjectName MOVE = ObjectName.of("move");
    private static final long STEP_MILLISECONDS = 1_000;
    private static final int MIN_REQUESTS = 20;
    private static final int MAX_REQUESTS = 60;

    private final SplittableRandom mRandom;
    private final Behaviour mNewVersion;
    private final MoveStateCodec mCodec = new MoveStateCodec();
    private final List<ObjectName> mEndpoints;
    private MoveState mState = MoveState.empty();
    private long mNowMilliseconds;
    private long mTakenOverAtMilliseconds = Long.MAX_VALUE;
    private long mNewRequests;
    private long mBadSinceRequests;
    private double mLargestUnprovenShare;
    private int mMostLoadsAtOnce;

    /** How a version does at a time under a load, given as requests a second. */
    @FunctionalInterface
    interface Behaviour {
        Quality at(long movingMilliseconds, int requestsPerSecond, double share);
    }

    /** The chances of an error and of an empty answer, and how much slower it is. */
    record Quality(double errorRate, double emptyRate, double slowdown) {
        static final Quality GOOD = new Quality(0.01, 0.002, 1);
    }

    MovedRoute(long seed, int endpoints, Behaviour newVersion) {
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
        tell(new Published(List.of(new MovePlan(move, mEndpoints, STEP_MILLISECONDS, List.of()))));
    }

    /** Runs until the move has ended, with a new commander at random moments. */
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

    int mostLoadsAtOnce() {
        return mMostLoadsAtOnce;
    }

    /** How many requests met a version that was bad by then. */
    long badRequests() {
        return mBadSinceRequests;
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
            tell(new Restarted(mEndpoints.get(mRandom.nextInt(mEndpoints.size()))));
        }
        List<MoveEffect> loads =
                MoveDecider.effects(mState).stream()
                        .filter(MoveEffect.Load.class::isInstance)
                        .toList();
        mMostLoadsAtOnce = Math.max(mMostLoadsAtOnce, loads.size());
        for (MoveEffect effect : loads) {
            if (mRandom.nextBoolean()) {
                MoveEffect.Load load = (MoveEffect.Load) effect;
                tell(new Loaded(load.endpoint(), load.version()));
            }
        }
        tell(new Observed(List.of(window())));
        tell(new Tick());
    }

    private void tell(MoveMessage message) {
        mState = MoveDecider.decide(mState, message, mNowMilliseconds);
        MoveProgress progress = progress();
        if (!progress.judge().isProven()) {
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
            mBadSinceRequests += toNew;
        }
        double load = (double) requests / MIN_REQUESTS;
        return new OutcomeWindow(
                ObjectName.of("route"),
                outcomes(requests - toNew, Quality.GOOD, load),
                outcomes(toNew, quality, load));
    }

    private Outcomes outcomes(int requests, Quality quality, double load) {
        int errors = 0;
        int empties = 0;
        List<Integer> counts = new ArrayList<>(Outcomes.none().firstTokenCounts());
        for (int i = 0; i < requests; i++) {
            double chance = mRandom.nextDouble();
            if (chance < quality.errorRate()) {
                errors++;
            } else if (chance < quality.errorRate() + quality.emptyRate()) {
                empties++;
            } else {
                double milliseconds = 100 * load * quality.slowdown() * spread();
                int place = place(milliseconds);
                counts.set(place, counts.get(place) + 1);
            }
        }
        return new Outcomes(requests, errors, empties, counts);
    }

    /** A long-tailed factor around 1. */
    private double spread() {
        double sum = 0;
        for (int i = 0; i < 12; i++) {
            sum += mRandom.nextDouble();
        }
        return Math.exp(0.5 * (sum - 6));
    }

    private static int place(double milliseconds) {
        List<Long> bounds = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS;
        int place = 0;
        while (place < bounds.size() && milliseconds > bounds.get(place)) {
            place++;
        }
        return place;
    }
}
