package org.skylarkbend.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitShareEffect.Admit;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareEffect.WakeAt;

/** A router process, and the endpoints that use tokens for its calls. */
final class SimulatedRouter {
    private final LimitSimulation mSimulation;
    private final RouterIdentity mIdentity;
    private final LimitShareDecider mDecider;
    private final long mClockOffsetMilliseconds;
    private final Map<Long, Long> mTokensByCall = new HashMap<>();
    private long mCallCount;
    private long mFrozenUntilMilliseconds;
    private long mCutOffUntilMilliseconds;
    private int mReachableOwner;
    private long mCrashedAtMilliseconds = Long.MAX_VALUE;
    private long mWakeAtMilliseconds;

    SimulatedRouter(LimitSimulation simulation, ObjectName vm, long incarnation) {
        mSimulation = simulation;
        mIdentity = new RouterIdentity(vm, incarnation);
        mClockOffsetMilliseconds = simulation.random().nextLong(1_000_000);
        mDecider = new LimitShareDecider(simulation.policy(), clock());
        handle(new LimitShareMessage.LimitsPublished(List.of(simulation.limit())));
    }

    RouterIdentity identity() {
        return mIdentity;
    }

    void crash() {
        mCrashedAtMilliseconds = Math.min(mCrashedAtMilliseconds, mSimulation.now());
    }

    void freeze(long milliseconds) {
        mFrozenUntilMilliseconds = mSimulation.now() + milliseconds;
    }

    void shutDown() {
        handle(new LimitShareMessage.ShutDown());
    }

    /** Cuts the router off from all owners but one for the given time. */
    void cutOff(int reachableOwner, long milliseconds) {
        mReachableOwner = reachableOwner;
        mCutOffUntilMilliseconds = mSimulation.now() + milliseconds;
    }

    boolean isCutOff() {
        return mSimulation.now() < mCutOffUntilMilliseconds;
    }

    int reachableOwner() {
        return mReachableOwner;
    }

    void deliver(long term, RouterIdentity router, LimitMessage message) {
        boolean isReached = !isCutOff() || term == mReachableOwner + 1;
        if (isReached && router.equals(mIdentity)) {
            handle(new LimitShareMessage.OwnerMessageReceived(message));
        }
    }

    void call(long tokens) {
        long callId = ++mCallCount;
        mTokensByCall.put(callId, tokens);
        handle(new LimitShareMessage.Reserve(callId, mSimulation.limit().customer(), tokens));
    }

    private void handle(LimitShareMessage message) {
        if (mSimulation.now() >= mCrashedAtMilliseconds) {
            return;
        }
        long frozenMilliseconds = mFrozenUntilMilliseconds - mSimulation.now();
        if (frozenMilliseconds > 0) {
            mSimulation.later(frozenMilliseconds, () -> handle(message));
            return;
        }
        mDecider.decide(message, clock()).forEach(this::carryOut);
    }

    private void carryOut(LimitShareEffect effect) {
        if (effect instanceof Admit admit) {
            runCall(admit.callId());
        } else if (effect instanceof SendToOwner send) {
            mSimulation.toOwner(this, send.message());
        } else if (effect instanceof WakeAt wake) {
            wakeAt(wake.atMilliseconds());
        }
    }

    /** Uses the tokens of a call in two parts, each at any time before the router reports it. */
    private void runCall(long callId) {
        long tokens = mTokensByCall.remove(callId);
        if (mSimulation.isQuick()) {
            use(tokens);
            handle(new LimitShareMessage.Spend(callId, tokens));
            handle(new LimitShareMessage.Release(callId));
            return;
        }
        long promptTokens = mSimulation.random().nextLong(tokens + 1);
        long answerTokens = mSimulation.random().nextLong(tokens - promptTokens + 1);
        long promptAt = mSimulation.transitMilliseconds();
        long promptKnownAt = promptAt + mSimulation.random().nextLong(100);
        long responseAt = promptKnownAt + mSimulation.random().nextLong(800);
        long endAt = responseAt + mSimulation.random().nextLong(50);
        mSimulation.later(promptAt, () -> use(promptTokens));
        mSimulation.later(
                promptKnownAt, () -> handle(new LimitShareMessage.Spend(callId, promptTokens)));
        mSimulation.later(responseAt, () -> use(answerTokens));
        mSimulation.later(endAt, () -> handle(new LimitShareMessage.Spend(callId, answerTokens)));
        mSimulation.later(endAt, () -> handle(new LimitShareMessage.Release(callId)));
    }

    /** Uses tokens, unless the endpoint has stopped the work of a router that died. */
    private void use(long tokens) {
        long stoppedMilliseconds =
                mCrashedAtMilliseconds == Long.MAX_VALUE
                        ? Long.MAX_VALUE
                        : mCrashedAtMilliseconds + mSimulation.policy().endpointStopMilliseconds();
        if (mSimulation.now() < stoppedMilliseconds) {
            mSimulation.checker().used(mSimulation.now(), tokens);
        }
    }

    private void wakeAt(long atMilliseconds) {
        mWakeAtMilliseconds = atMilliseconds;
        mSimulation.later(
                Math.max(1, atMilliseconds - clock()),
                () -> {
                    if (mWakeAtMilliseconds == atMilliseconds) {
                        handle(new LimitShareMessage.Wake());
                    }
                });
    }

    private long clock() {
        return mSimulation.now() + mClockOffsetMilliseconds;
    }
}
