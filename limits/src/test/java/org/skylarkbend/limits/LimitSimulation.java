package org.skylarkbend.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.base.ObjectName;

/**
 * Simulates routers and owners under one random schedule: lost, repeated, reordered and
 * long-delayed messages, routers that crash and restart, frozen processes that resume with an old
 * time, replaced owners that continue unaware, and tokens used at any moment that the protocol
 * allows.
 */
final class LimitSimulation {
    /**
     * A safety measure left out of the simulation, to prove that the checker detects its absence.
     */
    record Defect(boolean sendsUnconfirmed, boolean losesRegistry) {
        static final Defect NONE = new Defect(false, false);
    }

    /** An action at a time. */
    private record Event(long atMilliseconds, long order, Runnable action) {}

    private static final long DURATION_MILLISECONDS = 12_000;
    private static final long BURST_PERIOD_MILLISECONDS = 3_000;
    private static final long BURST_MILLISECONDS = 400;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.atMilliseconds() != other.atMilliseconds()
                                    ? Long.compare(one.atMilliseconds(), other.atMilliseconds())
                                    : Long.compare(one.order(), other.order()));
    private final UniformRandomProvider mRandom;
    private final Defect mDefect;
    private final CustomerLimit mLimit;
    private final LimitPolicy mPolicy;
    private final boolean mQuick;
    private final WindowChecker mChecker = new WindowChecker();
    private final List<SimulatedOwner> mOwners = new ArrayList<>();
    private final Map<ObjectName, SimulatedRouter> mRouters = new HashMap<>();
    private LimitRegistry mRegistry = LimitRegistry.empty();
    private long mNowMilliseconds;
    private long mEventCount;
    private long mTerm;

    LimitSimulation(long seed, Defect defect) {
        this(seed, defect, 0);
    }

    /**
     * Creates a simulation whose new owners start with the tokens of the given time, although there
     * is never a time without an owner.
     */
    LimitSimulation(long seed, Defect defect, long initialFillMilliseconds) {
        this(seed, defect, initialFillMilliseconds, 1);
    }

    /**
     * Creates a simulation whose new owners also assume that all unreported routers together hold
     * at most the burst divided by {@code unreportedDivisor}.
     */
    LimitSimulation(
            long seed, Defect defect, long initialFillMilliseconds, long unreportedDivisor) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mDefect = defect;
        long burst = 400 + mRandom.nextLong(4_000);
        long rate = 1 + burst * 1_000 / (300 + mRandom.nextLong(4_000));
        mLimit = new CustomerLimit(ObjectName.of("atelier"), rate, burst);
        mQuick = mRandom.nextBoolean();
        mPolicy =
                new LimitPolicy(
                        2 + mRandom.nextInt(4),
                        200,
                        64,
                        20,
                        1_000,
                        300,
                        16,
                        500,
                        initialFillMilliseconds,
                        unreportedDivisor,
                        300,
                        0);
    }

    /**
     * Runs the schedule and returns the maximum number of tokens that any window let through beyond
     * the rate.
     */
    long run() {
        replaceOwner();
        int routers = 2 + mRandom.nextInt(3);
        for (int i = 0; i < routers; i++) {
            ObjectName vm = ObjectName.of("entry-" + i);
            mRouters.put(vm, new SimulatedRouter(this, vm, 1));
            later(mRandom.nextLong(200), () -> arriveCall(vm));
        }
        later(mRandom.nextLong(1_000), this::injectFault);
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= DURATION_MILLISECONDS) {
            Event event = mEvents.remove();
            mNowMilliseconds = event.atMilliseconds();
            event.action().run();
        }
        return mChecker.maxTokensBeyondRate(mLimit.tokensPerSecond());
    }

    CustomerLimit limit() {
        return mLimit;
    }

    LimitPolicy policy() {
        return mPolicy;
    }

    /** Returns whether endpoints use the tokens of a call at once. */
    boolean isQuick() {
        return mQuick;
    }

    WindowChecker checker() {
        return mChecker;
    }

    UniformRandomProvider random() {
        return mRandom;
    }

    Defect defect() {
        return mDefect;
    }

    long now() {
        return mNowMilliseconds;
    }

    long term() {
        return mTerm;
    }

    void later(long delayMilliseconds, Runnable action) {
        mEvents.add(new Event(mNowMilliseconds + delayMilliseconds, mEventCount++, action));
    }

    boolean withProbability(double probability) {
        return mRandom.nextDouble() < probability;
    }

    /** Returns the delay of a message: usually short, occasionally very long. */
    long transitMilliseconds() {
        return withProbability(0.03) ? mRandom.nextLong(4_000) : 1 + mRandom.nextLong(8);
    }

    /** Delivers a message zero, one or two times. */
    void transmit(Runnable delivery) {
        if (withProbability(0.95)) {
            later(transitMilliseconds(), delivery);
        }
        if (withProbability(0.05)) {
            later(transitMilliseconds(), delivery);
        }
    }

    /**
     * Sends a message to an owner. A router that can reach only one owner sends to that one; others
     * occasionally send to a random owner instead of the newest.
     */
    void toOwner(SimulatedRouter from, LimitMessage message) {
        RouterIdentity router = from.identity();
        int newest = mOwners.size() - 1;
        int destination = withProbability(0.1) ? mRandom.nextInt(mOwners.size()) : newest;
        SimulatedOwner owner = mOwners.get(from.isCutOff() ? from.reachableOwner() : destination);
        transmit(() -> owner.handle(new LimitOwnerMessage.RouterMessageReceived(router, message)));
    }

    void toRouter(long term, RouterIdentity router, LimitMessage message) {
        transmit(() -> mRouters.get(router.vm()).deliver(term, router, message));
    }

    /** Commits a change of the registry, but only in the newest term. */
    void commit(SimulatedOwner owner, Runnable change, Runnable committed) {
        later(
                transitMilliseconds(),
                () -> {
                    if (owner.term() == mTerm) {
                        change.run();
                        later(transitMilliseconds(), committed);
                    }
                });
    }

    void register(RouterIdentity router) {
        mRegistry = mRegistry.register(router);
    }

    void unregister(RouterIdentity router) {
        mRegistry = mRegistry.unregister(router);
    }

    private void replaceOwner() {
        mTerm++;
        LimitRegistry registry = mDefect.losesRegistry() ? LimitRegistry.empty() : mRegistry;
        for (SimulatedRouter router : mRouters.values()) {
            if (withProbability(0.3)) {
                router.cutOff(mOwners.size() - 1, mRandom.nextLong(5_000));
            }
        }
        SimulatedOwner owner = new SimulatedOwner(this, mTerm, registry);
        mOwners.add(owner);
        mRouters.values()
                .forEach(
                        router ->
                                transmit(
                                        () ->
                                                owner.handle(
                                                        new LimitOwnerMessage.RouterConnected(
                                                                router.identity()))));
    }

    private void injectFault() {
        List<SimulatedRouter> routers = List.copyOf(mRouters.values());
        SimulatedRouter router = routers.get(mRandom.nextInt(routers.size()));
        switch (mRandom.nextInt(6)) {
            case 0, 1 -> replaceOwner();
            case 2 -> restart(router);
            case 3 -> router.freeze(mRandom.nextLong(5_000));
            case 4 -> mOwners.get(mRandom.nextInt(mOwners.size())).freeze(mRandom.nextLong(4_000));
            default -> router.shutDown();
        }
        later(200 + mRandom.nextLong(2_500), this::injectFault);
    }

    private void restart(SimulatedRouter router) {
        router.crash();
        later(
                mRandom.nextLong(1_500),
                () -> {
                    RouterIdentity old = router.identity();
                    if (mRouters.get(old.vm()) == router) {
                        mRouters.put(
                                old.vm(),
                                new SimulatedRouter(this, old.vm(), old.incarnation() + 1));
                    }
                });
    }

    /**
     * Lets a call arrive and schedules the next one. Calls come in bursts that request far more
     * than the bucket holds, and singly in between.
     */
    private void arriveCall(ObjectName vm) {
        long maxTokens = mPolicy.maxHeldTokens(mLimit);
        mRouters.get(vm).call(1 + mRandom.nextLong(maxTokens));
        boolean isBurst = mNowMilliseconds % BURST_PERIOD_MILLISECONDS < BURST_MILLISECONDS;
        long maxGapMilliseconds = isBurst ? 40 : 600;
        later(1 + mRandom.nextLong(maxGapMilliseconds), () -> arriveCall(vm));
    }
}
