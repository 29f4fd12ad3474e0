package org.skylarkbend.gateway.crashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.SuspectCall;

/**
 * Simulated service without network whose engines crash when they begin to run one or two certain
 * calls. Callers repeat these calls, with new IDs, at any gateway, beside sound calls of the same
 * customers and topics.
 */
final class RepeatedCallSchedule {
    /**
     * Kind of the calls of the service.
     *
     * @param hasPrompt true if calls have a prompt with parts that others share
     * @param maxAttempts engines that one call may be sent to
     * @param isStream true if an engine that has begun a call goes on for a while
     */
    record Kind(boolean hasPrompt, int maxAttempts, boolean isStream) {
        static final Kind RESUMABLE_STREAM = new Kind(true, 2, true);
        static final Kind STREAM_THAT_RUNS_ONCE = new Kind(true, 1, true);
        static final Kind CALL_THAT_RUNS_ONCE = new Kind(false, 1, false);
        static final Kind LOOKUP = new Kind(false, 2, false);
    }

    /**
     * What the schedule plays.
     *
     * @param kind kind of all calls
     * @param deadlyCalls number of calls that crash engines, each of which is repeated
     * @param sameTopic true if these are of one customer and topic
     * @param losesLeader true if the leader of control is lost after the second crash
     */
    record Plan(Kind kind, int deadlyCalls, boolean sameTopic, boolean losesLeader) {}

    private static final long END_MILLISECONDS = 60_000;
    private static final long TROUBLE_MILLISECONDS = 10_000;
    private static final int DOWN_MILLISECONDS = 3_200;

    /** The rule holds from this time after the last trouble of control on. */
    private static final long STABLE_MILLISECONDS = 3_000;

    private static final int CRASHES_BEFORE_BOUND = 3;

    /** With more, all engines are down all the time, and nothing can be told from answers. */
    private static final double MAX_DEADLY_CALLS_PER_ENGINE_AND_SECOND = 0.25;

    private static final String SUBJECT = "m";

    /** What a caller wants, and repeats under another ID if it fails. */
    private record Wish(String content, int customer, int topic, boolean deadly) {}

    /** A call at a gateway; it waits at an engine until that has begun to respond. */
    private static final class Call {
        private final String mId;
        private final CrashGuard mGateway;
        private final Wish mWish;
        private final boolean mRepeated;
        private int mSent;
        private boolean mBegun;

        Call(String id, CrashGuard gateway, Wish wish, boolean repeated) {
            mId = id;
            mGateway = gateway;
            mWish = wish;
            mRepeated = repeated;
        }
    }

    /** An engine with its calls. */
    private static final class Engine {
        private int mIncarnation;
        private boolean mUp = true;
        private final List<Call> mCalls = new ArrayList<>();
    }

    private final Random mRandom;
    private final Plan mPlan;
    private final SimulatedTime mTime = new SimulatedTime();
    private final SimulatedControl mControl;
    private final List<Engine> mEngines = new ArrayList<>();
    private final int mMeanIntervalMilliseconds;
    private final double mDeadlyShare;
    private final Map<String, List<Long>> mCrashes = new HashMap<>();
    private final Map<String, Integer> mLateSends = new HashMap<>();
    private long mStableFromMilliseconds;
    private boolean mLeaderWasLost;
    private int mSoundCalls;
    private int mSoundRefused;

    RepeatedCallSchedule(long seed, Plan plan) {
        mRandom = new Random(seed);
        mPlan = plan;
        int engines = 3 + mRandom.nextInt(plan.kind().hasPrompt() ? 20 : 4);
        for (int i = 0; i < engines; i++) {
            mEngines.add(new Engine());
        }
        mControl = new SimulatedControl(mTime, mRandom, 2 + mRandom.nextInt(12));
        mMeanIntervalMilliseconds = 5 + mRandom.nextInt(95);
        double mostDeadly =
                MAX_DEADLY_CALLS_PER_ENGINE_AND_SECOND
                        * engines
                        * mMeanIntervalMilliseconds
                        / 1_000;
        mDeadlyShare = Math.min(mostDeadly, 0.01 + mRandom.nextDouble() * 0.09);
    }

    void run() {
        mTime.at(0, this::arrive);
        mTime.at(0, mControl::tick);
        mTime.runUntil(END_MILLISECONDS);
    }

    int crashes() {
        return mCrashes.values().stream().mapToInt(List::size).sum();
    }

    int soundCalls() {
        return mSoundCalls;
    }

    int soundRefused() {
        return mSoundRefused;
    }

    /** Returns, of the call with the most, the repetitions that reached engines too late. */
    int lateSends() {
        return mLateSends.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private void arrive() {
        boolean deadly = now() > TROUBLE_MILLISECONDS && mRandom.nextDouble() < mDeadlyShare;
        String id = "c" + mTime.nextNumber();
        if (deadly) {
            int number = mRandom.nextInt(mPlan.deadlyCalls());
            int topic = mPlan.sameTopic() ? 0 : number;
            Wish wish = new Wish("deadly-" + number, topic, topic, true);
            send(new Call(id, anyGateway(), wish, false));
        } else {
            String content = mPlan.kind().hasPrompt() ? id : "item-" + skewed(200);
            Wish wish = new Wish(content, mRandom.nextInt(4), skewed(30), false);
            send(new Call(id, anyGateway(), wish, false));
        }
        mTime.after(1 + mRandom.nextInt(2 * mMeanIntervalMilliseconds), this::arrive);
    }

    private int skewed(int bound) {
        return Math.min(mRandom.nextInt(bound), mRandom.nextInt(bound));
    }

    private CrashGuard anyGateway() {
        return mControl.gateways().get(mRandom.nextInt(mControl.gateways().size()));
    }

    private void send(Call call) {
        boolean isFirstSend = call.mSent == 0;
        mSoundCalls += call.mWish.deadly() || !isFirstSend ? 0 : 1;
        OptionalLong refused =
                call.mGateway.quarantinedMilliseconds(() -> partsOf(call.mWish), now());
        if (refused.isPresent()) {
            mSoundRefused += call.mWish.deadly() ? 0 : 1;
            return;
        }
        int home = mRandom.nextInt(mEngines.size());
        if (mPlan.kind().hasPrompt()) {
            home = Math.floorMod(31 * call.mWish.topic() + call.mWish.customer(), mEngines.size());
        }
        for (int i = 0; i < mEngines.size(); i++) {
            Engine engine = mEngines.get((home + i) % mEngines.size());
            if (engine.mUp) {
                sendTo(engine, call);
                return;
            }
            call.mGateway.refusedConnection(endpoint(engine), now());
        }
    }

    private void sendTo(Engine engine, Call call) {
        call.mSent++;
        call.mBegun = false;
        if (call.mWish.deadly()) {
            recordSend(call.mWish.content());
        }
        engine.mCalls.add(call);
        mTime.after(10 + mRandom.nextInt(200), () -> begin(engine, call));
    }

    private void recordSend(String content) {
        List<Long> crashes = mCrashes.getOrDefault(content, List.of());
        boolean isBound =
                crashes.size() >= CRASHES_BEFORE_BOUND
                        && now() > crashes.get(CRASHES_BEFORE_BOUND - 1) + STABLE_MILLISECONDS;
        if (isBound && now() > mStableFromMilliseconds) {
            mLateSends.merge(content, 1, Integer::sum);
        }
    }

    private void begin(Engine engine, Call call) {
        if (!engine.mCalls.contains(call) || call.mBegun) {
            return;
        }
        if (call.mWish.deadly()) {
            crash(engine, call.mWish.content());
            return;
        }
        call.mBegun = mPlan.kind().isStream();
        mTime.after(
                mPlan.kind().isStream() ? 50 + mRandom.nextInt(2_000) : 1,
                () -> {
                    if (engine.mCalls.remove(call)) {
                        served(call);
                    }
                });
    }

    private void served(Call call) {
        call.mGateway.served(
                SUBJECT, sharedPartsOf(call.mWish), () -> ownPartsOf(call.mWish), now());
    }

    private void crash(Engine engine, String content) {
        engine.mUp = false;
        List<Long> crashes = mCrashes.computeIfAbsent(content, key -> new ArrayList<>());
        crashes.add(now());
        if (mPlan.losesLeader() && !mLeaderWasLost && crashes.size() == 2) {
            mTime.after(mRandom.nextInt(500), this::loseLeader);
            mLeaderWasLost = true;
        }
        Endpoint crashed = endpoint(engine);
        for (Call call : List.copyOf(engine.mCalls)) {
            mTime.after(1 + mRandom.nextInt(10), () -> broke(crashed, call));
        }
        engine.mCalls.clear();
        mTime.after(
                DOWN_MILLISECONDS,
                () -> {
                    engine.mUp = true;
                    engine.mIncarnation++;
                });
    }

    private void loseLeader() {
        mControl.loseLeader();
        mStableFromMilliseconds = now() + STABLE_MILLISECONDS;
        mTime.after(400 + mRandom.nextInt(600), mControl::replaceLeader);
    }

    private void broke(Endpoint crashed, Call call) {
        if (!call.mBegun) {
            call.mGateway.connectionBroke(
                    crashed, new SuspectCall(call.mId, partsOf(call.mWish)), now());
            mTime.after(
                    1 + mRandom.nextInt(5), () -> call.mGateway.refusedConnection(crashed, now()));
        }
        if (call.mSent < mPlan.kind().maxAttempts()) {
            send(call);
        } else if (!call.mRepeated) {
            String id = "c" + mTime.nextNumber();
            mTime.after(
                    20 + mRandom.nextInt(500),
                    () -> send(new Call(id, anyGateway(), call.mWish, true)));
        }
    }

    private List<PromptPart> partsOf(Wish wish) {
        List<PromptPart> parts = new ArrayList<>(sharedPartsOf(wish));
        parts.addAll(ownPartsOf(wish));
        return parts;
    }

    private List<PromptPart> sharedPartsOf(Wish wish) {
        return mPlan.kind().hasPrompt()
                ? List.of(
                        part("common-" + wish.customer()),
                        part("topic-" + wish.customer() + "-" + wish.topic()))
                : List.of();
    }

    private List<PromptPart> ownPartsOf(Wish wish) {
        return mPlan.kind().hasPrompt()
                ? List.of(part("own-" + wish.content()), part("call-" + wish.content()))
                : List.of(part("call-" + wish.content()));
    }

    private static PromptPart part(String id) {
        return new PromptPart(SUBJECT, id);
    }

    private Endpoint endpoint(Engine engine) {
        int number = mEngines.indexOf(engine);
        return new Endpoint(
                "e" + number, "s", "h", number, "z", "v", 8, false, engine.mIncarnation, Map.of());
    }

    private long now() {
        return mTime.nowMilliseconds();
    }
}
