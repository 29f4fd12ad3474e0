package org.skylarkbend.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.limits.LimitShareEffect.Admit;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareEffect.WakeAt;

/**
 * A gateway process in a {@link GatewaySchedule}. Its steady clock stands still while its VM is
 * suspended, and its time of day may be stepped.
 */
final class SimulatedGateway {
    private final GatewaySchedule mSchedule;
    private final RouterIdentity mIdentity;
    private final LimitShareDecider mDecider;
    private final LimitShareInbox mInbox;
    private final SuspensionDetector mSuspensions;
    private final Map<Long, Long> mTokensByCall = new HashMap<>();
    private long mCallCount;
    private long mPausedUntilMilliseconds;
    private long mCutOffUntilMilliseconds;
    private long mSuspendedMilliseconds;
    private long mWallStepMilliseconds;
    private long mWakeAtMilliseconds;
    private boolean mCrashed;

    SimulatedGateway(GatewaySchedule schedule, RouterIdentity identity) {
        mSchedule = schedule;
        mIdentity = identity;
        mDecider = new LimitShareDecider(schedule.gatewayPolicy(), clock());
        mInbox = new LimitShareInbox(mDecider, this::carryOut);
        mSuspensions =
                new SuspensionDetector(() -> schedule.now() + mWallStepMilliseconds, clock());
        handle(new LimitShareMessage.LimitsPublished(List.of(schedule.limit())));
    }

    RouterIdentity identity() {
        return mIdentity;
    }

    /** Returns whether the gateway runs and reaches the owner. */
    boolean isSound() {
        return !mCrashed
                && mSchedule.now() >= mPausedUntilMilliseconds
                && mSchedule.now() >= mCutOffUntilMilliseconds;
    }

    boolean isCutOff() {
        return mSchedule.now() < mCutOffUntilMilliseconds;
    }

    void crash() {
        mCrashed = true;
    }

    void freeze(long milliseconds) {
        mPausedUntilMilliseconds = mSchedule.now() + milliseconds;
    }

    /** Stops the gateway and its steady clock, and steps its time of day meanwhile. */
    void suspend(long milliseconds, long wallStepMilliseconds) {
        if (mSchedule.now() < mPausedUntilMilliseconds) {
            return;
        }
        freeze(milliseconds);
        mSuspendedMilliseconds += milliseconds;
        mWallStepMilliseconds += wallStepMilliseconds;
    }

    void cutOff(long milliseconds) {
        mCutOffUntilMilliseconds = mSchedule.now() + milliseconds;
    }

    void deliver(RouterIdentity destination, LimitMessage message) {
        if (!isCutOff() && destination.equals(mIdentity)) {
            handle(new LimitShareMessage.OwnerMessageReceived(message));
        }
    }

    void call(long tokens) {
        long callId = ++mCallCount;
        mTokensByCall.put(callId, tokens);
        handle(new LimitShareMessage.Reserve(callId, mSchedule.limit().customer(), tokens));
    }

    private void handle(LimitShareMessage message) {
        long pausedMilliseconds = mPausedUntilMilliseconds - mSchedule.now();
        if (pausedMilliseconds > 0) {
            mSchedule.later(pausedMilliseconds, () -> handle(message));
        } else if (!mCrashed) {
            long suspendedMilliseconds =
                    mSchedule.defect() == GatewaySchedule.Defect.MISSES_SUSPENSIONS
                            ? 0
                            : mSuspensions.suspendedMilliseconds(clock());
            if (suspendedMilliseconds > 0) {
                mInbox.handle(new LimitShareMessage.Suspended(suspendedMilliseconds), clock());
            }
            mInbox.handle(message, clock());
        }
    }

    private void carryOut(LimitShareEffect effect, long nowMilliseconds) {
        if (effect instanceof Admit admit) {
            long tokens = mTokensByCall.remove(admit.callId());
            mSchedule.used(tokens);
            handle(new LimitShareMessage.Spend(admit.callId(), tokens));
            handle(new LimitShareMessage.Release(admit.callId()));
        } else if (effect instanceof SendToOwner send) {
            mSchedule.toOwner(this, send.message());
        } else if (effect instanceof WakeAt wake) {
            wakeAt(wake.atMilliseconds());
        }
    }

    private void wakeAt(long atMilliseconds) {
        mWakeAtMilliseconds = atMilliseconds;
        mSchedule.later(
                Math.max(1, atMilliseconds - clock()),
                () -> {
                    if (mWakeAtMilliseconds == atMilliseconds) {
                        handle(new LimitShareMessage.Wake());
                    }
                });
    }

    private long clock() {
        return mSchedule.now() - mSuspendedMilliseconds;
    }
}
