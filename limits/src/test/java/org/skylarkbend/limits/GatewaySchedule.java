package org.skylarkbend.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitOwnerEffect.Register;
import org.skylarkbend.limits.LimitOwnerEffect.Send;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerEffect.Unregister;
import org.skylarkbend.limits.LimitOwnerEffect.WakeAt;

/**
 * Simulates gateways that are frozen, suspended or cut off for longer than their tokens last, that
 * restart or are gone for good, and replaced owners that continue unaware. Messages are lost,
 * repeated, reordered and delayed. Faults end after a time; what is gone by then stays gone.
 */
final class GatewaySchedule {
    /** A safety measure left out of the gateways, to prove that the checker detects its absence. */
    enum Defect {
        NONE,
        KEEPS_TOKENS,
        MISSES_SUSPENSIONS
    }

    static final long FAULTS_END_MILLISECONDS = 60_000;
    static final long MEASURED_MILLISECONDS = 10_000;

    /** Time after the last fault within which the sound gateways get the rate of the customer. */
    private static final long RECOVERY_MILLISECONDS = 20_000;

    private static final long END_MILLISECONDS =
            FAULTS_END_MILLISECONDS + RECOVERY_MILLISECONDS + MEASURED_MILLISECONDS;
    private static final long MAX_FAULT_MILLISECONDS = 30_000;
    private static final long MAX_GRANT_MILLISECONDS = 100;
    private static final long LAST_OWNER_MILLISECONDS = 30_000;
    private static final int MIN_SOUND_GATEWAYS = 2;

    /** An owner process. It never learns that it was replaced. */
    private final class Owner {
        private final long mOwnTerm;
        private final LimitOwnerDecider mDecider;
        private long mWakeAtMilliseconds;

        Owner(long term) {
            mOwnTerm = term;
            mDecider = new LimitOwnerDecider(mPolicy, term, mRegistry, now());
            handle(new LimitOwnerMessage.LimitsPublished(List.of(mLimit)));
        }

        void handle(LimitOwnerMessage message) {
            mDecider.decide(message, now()).forEach(this::carryOut);
        }

        private void carryOut(LimitOwnerEffect effect) {
            if (effect instanceof Send send) {
                toGateway(send.router(), send.message());
            } else if (effect instanceof SendConfirmed send) {
                ifConfirmed(() -> toGateway(send.router(), send.message()));
            } else if (effect instanceof Register register) {
                ifConfirmed(
                        () -> {
                            mRegistry = mRegistry.register(register.router());
                            handle(new LimitOwnerMessage.RouterRegistered(register.router()));
                        });
            } else if (effect instanceof Unregister unregister) {
                ifConfirmed(() -> mRegistry = mRegistry.unregister(unregister.router()));
            } else if (effect instanceof WakeAt wake) {
                mWakeAtMilliseconds = wake.atMilliseconds();
                mTimeline.at(wake.atMilliseconds(), () -> wake(wake.atMilliseconds()));
            }
        }

        private void wake(long atMilliseconds) {
            if (mWakeAtMilliseconds == atMilliseconds && mOwnTerm >= mTerm - 1) {
                handle(new LimitOwnerMessage.Wake());
            }
        }

        private void ifConfirmed(Runnable action) {
            later(
                    transitMilliseconds(),
                    () -> {
                        if (mOwnTerm == mTerm) {
                            action.run();
                        }
                    });
        }
    }

    private final EventTimeline mTimeline = new EventTimeline();
    private final WindowChecker mChecker = new WindowChecker();
    private final Map<ObjectName, SimulatedGateway> mGateways = new HashMap<>();
    private final List<Owner> mOwners = new ArrayList<>();
    private final UniformRandomProvider mRandom;
    private final LimitPolicy mPolicy;
    private final Defect mDefect;
    private final CustomerLimit mLimit;
    private LimitRegistry mRegistry = LimitRegistry.empty();
    private long mTerm;
    private long mLateTokens;

    GatewaySchedule(long seed, LimitPolicy policy, Defect defect) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPolicy = policy;
        mDefect = defect;
        long burst = 2_000 + mRandom.nextLong(20_000);
        long rate = burst * 1_000 / (500 + mRandom.nextLong(4_000));
        mLimit = new CustomerLimit(ObjectName.of("atelier"), rate, burst);
    }

    /** Runs the schedule and returns the most tokens of any window beyond the rate. */
    long run() {
        replaceOwner();
        int gateways = MIN_SOUND_GATEWAYS + 2 + mRandom.nextInt(6);
        for (int i = 0; i < gateways; i++) {
            ObjectName vm = ObjectName.of("front-" + i);
            mGateways.put(vm, new SimulatedGateway(this, new RouterIdentity(vm, 1)));
            later(mRandom.nextLong(200), () -> arriveCall(vm));
        }
        later(mRandom.nextLong(5_000), this::injectFault);
        mTimeline.runUntil(END_MILLISECONDS);
        return mChecker.maxTokensBeyondRate(mLimit.tokensPerSecond());
    }

    /** Returns the tokens used in the last {@link #MEASURED_MILLISECONDS}. */
    long lateTokens() {
        return mLateTokens;
    }

    CustomerLimit limit() {
        return mLimit;
    }

    Defect defect() {
        return mDefect;
    }

    long term() {
        return mTerm;
    }

    LimitPolicy gatewayPolicy() {
        return mDefect == Defect.KEEPS_TOKENS
                ? SilentGatewayScheduleTest.policy(mPolicy, Long.MAX_VALUE)
                : mPolicy;
    }

    long now() {
        return mTimeline.now();
    }

    void later(long delayMilliseconds, Runnable action) {
        mTimeline.at(now() + delayMilliseconds, action);
    }

    void used(long tokens) {
        mChecker.used(now(), tokens);
        mLateTokens += now() > END_MILLISECONDS - MEASURED_MILLISECONDS ? tokens : 0;
    }

    void toOwner(SimulatedGateway from, LimitMessage message) {
        if (!from.isCutOff()) {
            int newest = mOwners.size() - 1;
            Owner owner = mOwners.get(withProbability(0.05) ? Math.max(0, newest - 1) : newest);
            RouterIdentity gateway = from.identity();
            transmit(
                    () ->
                            owner.handle(
                                    new LimitOwnerMessage.RouterMessageReceived(gateway, message)));
        }
    }

    private void toGateway(RouterIdentity gateway, LimitMessage message) {
        transmit(() -> mGateways.get(gateway.vm()).deliver(gateway, message));
    }

    /** Delivers a message zero, one or two times, rarely after everybody has forgotten it. */
    private void transmit(Runnable delivery) {
        if (withProbability(0.97)) {
            later(transitMilliseconds(), delivery);
        }
        if (withProbability(0.03)) {
            later(transitMilliseconds(), delivery);
        }
    }

    private long transitMilliseconds() {
        boolean isDelayed = now() < FAULTS_END_MILLISECONDS && withProbability(0.01);
        return isDelayed ? mRandom.nextLong(MAX_FAULT_MILLISECONDS) : 1 + mRandom.nextLong(8);
    }

    private boolean withProbability(double probability) {
        return mRandom.nextDouble() < probability;
    }

    private void replaceOwner() {
        mTerm++;
        Owner owner = new Owner(mTerm);
        mOwners.add(owner);
        mGateways
                .values()
                .forEach(
                        gateway ->
                                transmit(
                                        () ->
                                                owner.handle(
                                                        new LimitOwnerMessage.RouterConnected(
                                                                gateway.identity()))));
    }

    private void injectFault() {
        if (now() >= FAULTS_END_MILLISECONDS) {
            return;
        }
        List<SimulatedGateway> sound =
                mGateways.values().stream().filter(SimulatedGateway::isSound).toList();
        int kind = mRandom.nextInt(6);
        if (kind == 0 && now() < LAST_OWNER_MILLISECONDS) {
            replaceOwner();
        } else if (sound.size() > MIN_SOUND_GATEWAYS) {
            disruptWhileGranted(sound.get(mRandom.nextInt(sound.size())), kind);
        }
        later(200 + mRandom.nextLong(5_000), this::injectFault);
    }

    /** Lets a gateway ask for all that it may hold, so that its grant may just be on its way. */
    private void disruptWhileGranted(SimulatedGateway gateway, int kind) {
        gateway.call(mPolicy.maxHeldTokens(mLimit));
        later(
                mRandom.nextLong(MAX_GRANT_MILLISECONDS),
                () -> {
                    if (gateway.isSound()) {
                        disrupt(gateway, kind);
                    }
                });
    }

    private void disrupt(SimulatedGateway gateway, int kind) {
        long milliseconds = mRandom.nextLong(MAX_FAULT_MILLISECONDS);
        switch (kind) {
            case 1 -> gateway.freeze(milliseconds);
            case 2 -> gateway.suspend(milliseconds, mRandom.nextLong(10_001) - 5_000);
            case 3 -> gateway.cutOff(milliseconds);
            case 4 -> gateway.cutOff(END_MILLISECONDS);
            default -> restart(gateway, milliseconds);
        }
    }

    private void restart(SimulatedGateway gateway, long downMilliseconds) {
        gateway.crash();
        later(
                downMilliseconds,
                () -> {
                    RouterIdentity old = gateway.identity();
                    RouterIdentity next = new RouterIdentity(old.vm(), old.incarnation() + 1);
                    mGateways.put(old.vm(), new SimulatedGateway(this, next));
                });
    }

    /** Lets a call arrive and schedules the next one. All sound gateways exceed the rate. */
    private void arriveCall(ObjectName vm) {
        long maxTokens = mLimit.burstTokens() / 8;
        mGateways.get(vm).call(1 + mRandom.nextLong(maxTokens));
        long meanMilliseconds = maxTokens * 1_000 / mLimit.tokensPerSecond() / 2;
        boolean isBusy = now() >= FAULTS_END_MILLISECONDS || now() % 20_000 < 10_000;
        long gapMilliseconds = isBusy ? meanMilliseconds : 10 * meanMilliseconds;
        later(1 + mRandom.nextLong(2 * gapMilliseconds + 1), () -> arriveCall(vm));
    }
}
