package org.skylarkbend.limits;

import java.util.List;
import org.skylarkbend.limits.LimitOwnerEffect.Register;
import org.skylarkbend.limits.LimitOwnerEffect.Send;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerEffect.Unregister;
import org.skylarkbend.limits.LimitOwnerEffect.WakeAt;

/**
 * An owner process that may freeze, resume with an old time, and continue after its term without
 * knowing that it was replaced.
 */
final class SimulatedOwner {
    private final LimitSimulation mSimulation;
    private final long mTerm;
    private final LimitOwnerDecider mDecider;
    private final long mClockOffsetMilliseconds;
    private long mFrozenUntilMilliseconds;
    private long mStaleTimeMilliseconds = Long.MIN_VALUE;
    private long mWakeAtMilliseconds = Long.MAX_VALUE;

    SimulatedOwner(LimitSimulation simulation, long term, LimitRegistry registry) {
        mSimulation = simulation;
        mTerm = term;
        mClockOffsetMilliseconds = simulation.random().nextLong(1_000_000);
        mDecider = new LimitOwnerDecider(simulation.policy(), term, registry, clock());
        handle(new LimitOwnerMessage.LimitsPublished(List.of(simulation.limit())));
    }

    long term() {
        return mTerm;
    }

    void freeze(long milliseconds) {
        mStaleTimeMilliseconds = clock();
        mFrozenUntilMilliseconds = mSimulation.now() + milliseconds;
    }

    void handle(LimitOwnerMessage message) {
        long frozenMilliseconds = mFrozenUntilMilliseconds - mSimulation.now();
        if (frozenMilliseconds > 0) {
            mSimulation.later(frozenMilliseconds, () -> handle(message));
            return;
        }
        long nowMilliseconds =
                mStaleTimeMilliseconds == Long.MIN_VALUE ? clock() : mStaleTimeMilliseconds;
        mStaleTimeMilliseconds = Long.MIN_VALUE;
        mDecider.decide(message, nowMilliseconds).forEach(this::carryOut);
    }

    private void carryOut(LimitOwnerEffect effect) {
        if (effect instanceof Send send) {
            mSimulation.toRouter(mTerm, send.router(), send.message());
        } else if (effect instanceof SendConfirmed send) {
            sendConfirmed(send);
        } else if (effect instanceof Register register) {
            mSimulation.commit(
                    this,
                    () -> mSimulation.register(register.router()),
                    () -> handle(new LimitOwnerMessage.RouterRegistered(register.router())));
        } else if (effect instanceof Unregister unregister) {
            mSimulation.commit(this, () -> mSimulation.unregister(unregister.router()), () -> {});
        } else if (effect instanceof WakeAt wake) {
            wakeAt(wake.atMilliseconds());
        }
    }

    /** Asks the quorum at some time after the decision; the message may be sent much later. */
    private void sendConfirmed(SendConfirmed send) {
        mSimulation.later(
                mSimulation.transitMilliseconds(),
                () -> {
                    if (mTerm == mSimulation.term() || mSimulation.defect().sendsUnconfirmed()) {
                        mSimulation.toRouter(mTerm, send.router(), send.message());
                    }
                });
    }

    private void wakeAt(long atMilliseconds) {
        mWakeAtMilliseconds = atMilliseconds;
        mSimulation.later(
                Math.max(1, atMilliseconds - clock()),
                () -> {
                    if (mWakeAtMilliseconds == atMilliseconds) {
                        handle(new LimitOwnerMessage.Wake());
                    }
                });
    }

    private long clock() {
        return mSimulation.now() + mClockOffsetMilliseconds;
    }
}
