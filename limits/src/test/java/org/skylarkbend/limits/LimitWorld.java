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
 * Routers and owners under one random schedule: lost, repeated, reordered and very late messages,
 * routers that crash and restart, frozen processes that wake with the time of before, owners that
 * are replaced and go on as if they were not, and tokens used at any moment that the rules allow.
 */
final class LimitWorld {
    /** What a schedule leaves out, to show that the checker would notice. */
    record Weakness(boolean sendsUnconfirmed, boolean forgetsRegistry) {
        static final Weakness NONE = new Weakness(false, false);
    }

    /** What happens at a time. */
    private record Event(long atMilliseconds, long order, Runnable action) {}

    private static final long HORIZON_MILLISECONDS = 12_000;
    private static final long STORM_PERIOD_MILLISECONDS = 3_000;
    private static final long STORM_MILLISECONDS = 400;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.atMilliseconds() != other.atMilliseconds()
                                    ? Long.compare(one.atMilliseconds(), other.atMilliseconds())
                                    : Long.compare(one.order(), other.order()));
    private final UniformRandomProvider mRandom;
    private final Weakness mWeakness;
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

    LimitWorld(long seed, Weakness weakness) {
        this(seed, weakness, 0);
    }

    /** A world whose owners begin with the tokens of a time, though none is without an owner. */
    LimitWorld(long seed, Weakness weakness, long headStartMilliseconds) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mWeakness = weakness;
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
                        headStartMilliseconds);
    }

    /**
     * Runs the schedule and returns the most tokens that any window let through beyond the rate.
     */
    long run() {
        replaceOwner();
        int routers = 2 + mRandom.nextInt(3);
        for (int i = 0; i < routers; i++) {
            ObjectName vm = ObjectName.of("entry-" + i);
            mRouters.put(vm, new SimulatedRouter(this, vm, 1));
            later(mRandom.nextLong(200), () -> arriveCall(vm));
        }
        later(mRandom.nextLong(1_000), this::disturb);
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= HORIZON_MILLISECONDS) {
            Event event = mEvents.remove();
            mNowMilliseconds = event.atMilliseconds();
            event.action().run();
        }
        return mChecker.mostTokensBeyondRate(mLimit.tokensPerSecond());
    }

    CustomerLimit limit() {
        return mLimit;
    }

    LimitPolicy policy() {
        return mPolicy;
    }

    /** Whether endpoints use the tokens of a call at once. */
    boolean isQuick() {
        return mQuick;
    }

    WindowChecker checker() {
        return mChecker;
    }

    UniformRandomProvider random() {
        return mRandom;
    }

    Weakness weakness() {
        return mWeakness;
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

    boolean chance(double share) {
        return mRandom.nextDouble() < share;
    }

    /** How long a message is on its way: mostly short, now and then very long. */
    long transitMilliseconds() {
        return chance(0.03) ? mRandom.nextLong(4_000) : 1 + mRandom.nextLong(8);
    }

    /** Delivers a message never, once or twice. */
    void transmit(Runnable delivery) {
        if (chance(0.95)) {
            later(transitMilliseconds(), delivery);
        }
        if (chance(0.05)) {
            later(transitMilliseconds(), delivery);
        }
    }

    /** A router that is cut off from all owners but one speaks to that; others stray at times. */
    void toOwner(SimulatedRouter from, LimitMessage message) {
        RouterIdentity router = from.identity();
        int newest = mOwners.size() - 1;
        int stray = chance(0.1) ? mRandom.nextInt(mOwners.size()) : newest;
        SimulatedOwner owner = mOwners.get(from.isCutOff() ? from.reachableOwner() : stray);
        transmit(() -> owner.take(new LimitOwnerMessage.RouterSaid(router, message)));
    }

    void toRouter(long term, RouterIdentity router, LimitMessage message) {
        transmit(() -> mRouters.get(router.vm()).deliver(term, router, message));
    }

    /** A change of the registry commits only in the newest term. */
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

    void forget(RouterIdentity router) {
        mRegistry = mRegistry.forget(router);
    }

    private void replaceOwner() {
        mTerm++;
        LimitRegistry registry = mWeakness.forgetsRegistry() ? LimitRegistry.empty() : mRegistry;
        for (SimulatedRouter router : mRouters.values()) {
            if (chance(0.3)) {
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
                                                owner.take(
                                                        new LimitOwnerMessage.RouterConnected(
                                                                router.identity()))));
    }

    private void disturb() {
        List<SimulatedRouter> routers = List.copyOf(mRouters.values());
        SimulatedRouter router = routers.get(mRandom.nextInt(routers.size()));
        switch (mRandom.nextInt(6)) {
            case 0, 1 -> replaceOwner();
            case 2 -> restart(router);
            case 3 -> router.freeze(mRandom.nextLong(5_000));
            case 4 -> mOwners.get(mRandom.nextInt(mOwners.size())).freeze(mRandom.nextLong(4_000));
            default -> router.shutDown();
        }
        later(200 + mRandom.nextLong(2_500), this::disturb);
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

    /** Calls come in storms that ask for far more than the bucket holds, and singly between. */
    private void arriveCall(ObjectName vm) {
        long mostTokens = mPolicy.maxHeldTokens(mLimit);
        mRouters.get(vm).call(1 + mRandom.nextLong(mostTokens));
        boolean storms = mNowMilliseconds % STORM_PERIOD_MILLISECONDS < STORM_MILLISECONDS;
        long mostGapMilliseconds = storms ? 40 : 600;
        later(1 + mRandom.nextLong(mostGapMilliseconds), () -> arriveCall(vm));
    }
}
