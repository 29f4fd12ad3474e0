package org.skylarkbend.gateway.crashes;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.CrashAnalysis;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.QuarantineMessage;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.quarantine.QuarantineState;
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

    /** An action at a time; actions at the same time keep their order. */
    private record Event(long atMilliseconds, long number, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(atMilliseconds, other.atMilliseconds);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

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
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<CrashGuard> mGateways = new ArrayList<>();
    private final List<Long> mCrashTimesMilliseconds = new ArrayList<>();
    private final List<Long> mDeadlySentTimesMilliseconds = new ArrayList<>();
    private CrashAnalysis mAnalysis = new CrashAnalysis();
    private QuarantineState mState = QuarantineState.empty();
    private final Map<PartCombination, Long> mInForceSinceMilliseconds = new HashMap<>();
    private QuarantineNotice mLastNotice = QuarantineNotice.none();
    private final Map<CrashGuard, Long> mLastDeliveryMilliseconds = new HashMap<>();
    private long mNowMilliseconds;
    private long mNumber;
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
        int gateways = 2 + mRandom.nextInt(20);
        for (int i = 0; i < gateways; i++) {
            String name = "front-" + i;
            mGateways.add(new CrashGuard(evidence -> report(name, evidence), new MetricRegistry()));
        }
    }

    void run() {
        at(0, this::arrive);
        at(0, this::tick);
        at(TROUBLE_MILLISECONDS, this::trouble);
        if (mRandom.nextBoolean()) {
            at(TROUBLE_MILLISECONDS + mRandom.nextInt(8_000), this::replaceLeader);
        }
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() < END_MILLISECONDS) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.action().run();
        }
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

    private void at(long atMilliseconds, Runnable action) {
        mEvents.add(new Event(atMilliseconds, mNumber++, action));
    }

    private void after(long milliseconds, Runnable action) {
        at(mNowMilliseconds + milliseconds, action);
    }

    private void arrive() {
        boolean deadly =
                mTrouble == Trouble.DEADLY_PART
                        && mNowMilliseconds > TROUBLE_MILLISECONDS
                        && mRandom.nextInt(40) == 0;
        List<PromptPart> parts = new ArrayList<>();
        int customer = mRandom.nextInt(4);
        parts.add(new PromptPart(MODEL, "common-" + customer));
        parts.add(new PromptPart(MODEL, "topic-" + customer + "-" + skewed(30)));
        if (deadly) {
            parts.add(new PromptPart(MODEL, "deadly"));
        }
        mSoundCalls += deadly ? 0 : 1;
        send(new Call("c" + mNumber, mRandom.nextInt(mGateways.size()), parts, deadly));
        after(1 + mRandom.nextInt(40), this::arrive);
    }

    private int skewed(int bound) {
        return Math.min(mRandom.nextInt(bound), mRandom.nextInt(bound));
    }

    private void send(Call call) {
        CrashGuard guard = mGateways.get(call.mGateway);
        OptionalLong refused = guard.quarantinedMilliseconds(() -> call.mParts, mNowMilliseconds);
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
                    mDeadlySentTimesMilliseconds.add(mNowMilliseconds);
                }
                engine.mCalls.add(call);
                after(20 + mRandom.nextInt(300), () -> begin(engine, call));
                return;
            }
            guard.refusedConnection(endpoint(engine), mNowMilliseconds);
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
                        mGateways
                                .get(call.mGateway)
                                .served(MODEL, call.mParts, List::of, mNowMilliseconds);
                    }
                });
    }

    private void crash(Engine engine) {
        if (!engine.mUp) {
            return;
        }
        engine.mUp = false;
        mCrashTimesMilliseconds.add(mNowMilliseconds);
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
        CrashGuard guard = mGateways.get(call.mGateway);
        guard.connectionBroke(crashed, new SuspectCall(call.mId, call.mParts), mNowMilliseconds);
        after(1 + mRandom.nextInt(5), () -> guard.refusedConnection(crashed, mNowMilliseconds));
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

    private void report(String gateway, CrashEvidence evidence) {
        if (mRandom.nextInt(10) > 0) {
            CrashAnalysis leader = mAnalysis;
            after(
                    1 + mRandom.nextInt(20),
                    () -> {
                        leader.add(gateway, evidence, mNowMilliseconds);
                        decide();
                    });
        }
    }

    private void tick() {
        mGateways.forEach(gateway -> gateway.reportIfDue(mNowMilliseconds));
        decide();
        after(TICK_MILLISECONDS, this::tick);
    }

    private void decide() {
        for (PartCombination verdict : mAnalysis.verdicts(mState, mNowMilliseconds)) {
            mState = mState.after(new QuarantineMessage.Imposed(verdict), mNowMilliseconds);
            mInForceSinceMilliseconds.put(verdict, mNowMilliseconds);
        }
        for (PartCombination combination : mState.inForce()) {
            long untilMilliseconds =
                    mInForceSinceMilliseconds.get(combination)
                            + mState.of(combination).orElseThrow().durationMilliseconds();
            if (untilMilliseconds <= mNowMilliseconds) {
                mState = mState.after(new QuarantineMessage.Lifted(combination), mNowMilliseconds);
                mAnalysis.lifted(combination, mNowMilliseconds);
            }
        }
        Set<PromptPart> watched = mAnalysis.watched(mState, mNowMilliseconds);
        Map<PartCombination, Long> inForce = new HashMap<>();
        mState.inForce().forEach(combination -> inForce.put(combination, 1L));
        QuarantineNotice notice = new QuarantineNotice(watched, inForce);
        if (!notice.equals(mLastNotice)) {
            mLastNotice = notice;
            mGateways.forEach(gateway -> sendInOrder(gateway, notice));
        }
    }

    /** Delivers a notice after those that were sent before it, as one connection does. */
    private void sendInOrder(CrashGuard gateway, QuarantineNotice notice) {
        long atMilliseconds =
                Math.max(
                        mNowMilliseconds + 1 + mRandom.nextInt(20),
                        mLastDeliveryMilliseconds.getOrDefault(gateway, 0L));
        mLastDeliveryMilliseconds.put(gateway, atMilliseconds);
        at(atMilliseconds, () -> gateway.noticeReceived(notice, mNowMilliseconds));
    }

    private void replaceLeader() {
        mAnalysis = new CrashAnalysis();
        mAnalysis.clearReports(mNowMilliseconds);
    }
}
