package org.skylarkbend.gateway.crashes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.SuspectCall;

/**
 * Simulated site without network: gateways, a control leader, and engines that crash. Messages are
 * delayed and lost, and leaders are replaced, in an order that the seed determines.
 */
final class CrashSchedule {
    /** What happens to the engines. */
    enum Trouble {
        /** A part of some prompts crashes each engine that begins to answer it. */
        DEADLY_PART,
        /** Single engines crash for no reason that lies in the calls. */
        SINGLE_CRASHES,
        /** A quarter of the engines crashes at once, three times. */
        WAVES
    }

    private static final long END_MILLISECONDS = 40_000;
    private static final long TROUBLE_MILLISECONDS = 4_000;
    private static final int DOWN_MILLISECONDS = 3_200;
    private static final int TICK_MILLISECONDS = 100;
    private static final String MODEL = "m";

    /** A call at an engine; it waits until its prompt has been read. */
    private static final class Call {
        private final String mId;
        private final int mGateway;
        private final List<PromptPart> mParts;
        private final boolean mDeadly;
        private int mSent;
        private boolean mBegun;

        Call(String id, int gateway, List<PromptPart> parts, boolean deadly) {
            mId = id;
            mGateway = gateway;
            mParts = parts;
            mDeadly = deadly;
        }
    }

    /** An engine with its calls. */
    private static final class Engine {
        private int mIncarnation;
        private boolean mUp = true;
        private final List<Call> mCalls = new ArrayList<>();
    }

    private final Random mRandom;
    private final Trouble mTrouble;
    private final boolean mGuarded;
    private final SimulatedTime mTime = new SimulatedTime();
    private final SimulatedControl mControl;
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Long> mCrashTimesMilliseconds = new ArrayList<>();
    private final List<Long> mDeadlySentTimesMilliseconds = new ArrayList<>();
    private int mSoundCalls;
    private int mSoundRefused;

    CrashSchedule(long seed, Trouble trouble, boolean guarded) {
        mRandom = new Random(seed);
        mTrouble = trouble;
        mGuarded = guarded;
        int engines = 4 + mRandom.nextInt(40);
        for (int i = 0; i < engines; i++) {
            mEngines.add(new Engine());
        }
        mControl = new SimulatedControl(mTime, mRandom, 2 + mRandom.nextInt(20));
    }

    void run() {
        mTime.at(0, this::arrive);
        mTime.at(0, mControl::tick);
        mTime.at(TROUBLE_MILLISECONDS, this::trouble);
        if (mRandom.nextBoolean()) {
            mTime.at(TROUBLE_MILLISECONDS + mRandom.nextInt(8_000), mControl::replaceLeader);
        }
        mTime.runUntil(END_MILLISECONDS);
    }

    int crashes() {
        return mCrashTimesMilliseconds.size();
    }

    int soundCalls() {
        return mSoundCalls;
    }

    int soundRefused() {
        return mSoundRefused;
    }

    /** Returns the deadly calls that were sent later than a time after the fifth crash. */
    long deadlyCallsAfterFifthCrash(long afterMilliseconds) {
        if (mCrashTimesMilliseconds.size() < 5) {
            return 0;
        }
        long boundMilliseconds = mCrashTimesMilliseconds.get(4) + afterMilliseconds;
        return mDeadlySentTimesMilliseconds.stream().filter(at -> at > boundMilliseconds).count();
    }

    private void after(long milliseconds, Runnable action) {
        mTime.after(milliseconds, action);
    }

    private long now() {
        return mTime.nowMilliseconds();
    }

    private void arrive() {
        boolean deadly =
                mTrouble == Trouble.DEADLY_PART
                        && now() > TROUBLE_MILLISECONDS
                        && mRandom.nextInt(40) == 0;
        List<PromptPart> parts = new ArrayList<>();
        int customer = mRandom.nextInt(4);
        parts.add(new PromptPart(MODEL, "common-" + customer));
        parts.add(new PromptPart(MODEL, "topic-" + customer + "-" + skewed(30)));
        if (deadly) {
            parts.add(new PromptPart(MODEL, "deadly"));
        }
        mSoundCalls += deadly ? 0 : 1;
        send(
                new Call(
                        "c" + mTime.nextNumber(),
                        mRandom.nextInt(mControl.gateways().size()),
                        parts,
                        deadly));
        after(1 + mRandom.nextInt(40), this::arrive);
    }

    private int skewed(int bound) {
        return Math.min(mRandom.nextInt(bound), mRandom.nextInt(bound));
    }

    private void send(Call call) {
        CrashGuard guard = mControl.gateways().get(call.mGateway);
        OptionalLong refused = guard.quarantinedMilliseconds(() -> call.mParts, now());
        if (mGuarded && refused.isPresent()) {
            mSoundRefused += call.mDeadly ? 0 : 1;
            return;
        }
        int home = Math.floorMod(call.mParts.hashCode(), mEngines.size());
        for (int i = 0; i < mEngines.size(); i++) {
            Engine engine = mEngines.get((home + i) % mEngines.size());
            if (engine.mUp) {
                call.mSent++;
                call.mBegun = false;
                if (call.mDeadly) {
                    mDeadlySentTimesMilliseconds.add(now());
                }
                engine.mCalls.add(call);
                after(20 + mRandom.nextInt(300), () -> begin(engine, call));
                return;
            }
            guard.refusedConnection(endpoint(engine), now());
        }
    }

    private void begin(Engine engine, Call call) {
        if (!engine.mCalls.contains(call) || call.mBegun) {
            return;
        }
        if (call.mDeadly) {
            crash(engine);
            return;
        }
        call.mBegun = true;
        after(
                50 + mRandom.nextInt(2_000),
                () -> {
                    if (engine.mCalls.remove(call)) {
                        mControl.gateways()
                                .get(call.mGateway)
                                .served(MODEL, call.mParts, List::of, now());
                    }
                });
    }

    private void crash(Engine engine) {
        if (!engine.mUp) {
            return;
        }
        engine.mUp = false;
        mCrashTimesMilliseconds.add(now());
        Endpoint crashed = endpoint(engine);
        for (Call call : List.copyOf(engine.mCalls)) {
            if (!call.mBegun) {
                after(1 + mRandom.nextInt(10), () -> broke(crashed, call));
            }
        }
        engine.mCalls.clear();
        after(
                DOWN_MILLISECONDS,
                () -> {
                    engine.mUp = true;
                    engine.mIncarnation++;
                });
    }

    private void broke(Endpoint crashed, Call call) {
        CrashGuard guard = mControl.gateways().get(call.mGateway);
        guard.connectionBroke(crashed, new SuspectCall(call.mId, call.mParts), now());
        after(1 + mRandom.nextInt(5), () -> guard.refusedConnection(crashed, now()));
        if (call.mSent < 2) {
            send(call);
        }
    }

    private Endpoint endpoint(Engine engine) {
        int number = mEngines.indexOf(engine);
        return new Endpoint(
                "e" + number, "s", "h", number, "z", "v", 8, false, engine.mIncarnation, Map.of());
    }

    private void trouble() {
        if (mTrouble == Trouble.SINGLE_CRASHES) {
            crash(mEngines.get(mRandom.nextInt(mEngines.size())));
            after(200 + mRandom.nextInt(3_000), this::trouble);
        } else if (mTrouble == Trouble.WAVES) {
            mEngines.stream().limit(1 + mEngines.size() / 4).forEach(this::crash);
            if (mCrashTimesMilliseconds.size() <= mEngines.size()) {
                after(DOWN_MILLISECONDS + 500 + mRandom.nextInt(2_000), this::trouble);
            }
        }
    }
}
