package org.skylarkbend.gateway.front;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.gateway.DrainSchedule;
import org.skylarkbend.gateway.call.GuardedCall;
import org.skylarkbend.intake.CallerConnections;

/** The drain of a gateway that shuts down. Confined to the task that serves the calls. */
final class Drain {
    private static final StructuredLog LOG = StructuredLog.of(Drain.class);
    private static final long CHECK_INTERVAL_MILLISECONDS = 50;

    /** Time for the responses to the calls that are left at the end. */
    private static final long LAST_RESPONSES_MILLISECONDS = 200;

    private final Vertx mVertx;
    private final Set<GuardedCall> mCalls;
    private final BooleanSupplier mIsIdle;
    private final CallerConnections mConnections;
    private final Promise<Void> mDrained;
    private final long mCheckTimer;
    private boolean mRefusing;

    /**
     * Starts a drain.
     *
     * @param vertx sets the timers
     * @param schedule when it refuses calls and ends
     * @param calls the calls in progress, now and later
     * @param isIdle returns whether neither calls nor other gateways are being served
     * @param connections the connections of callers
     * @param drained completed at the end
     */
    Drain(
            Vertx vertx,
            DrainSchedule schedule,
            Set<GuardedCall> calls,
            BooleanSupplier isIdle,
            CallerConnections connections,
            Promise<Void> drained) {
        mVertx = vertx;
        mCalls = calls;
        mIsIdle = isIdle;
        mConnections = connections;
        mDrained = drained;
        LOG.info("gateway.draining", "calls", calls.size());
        vertx.setTimer(Math.max(1, schedule.refuseAfterMilliseconds()), id -> startRefusing());
        vertx.setTimer(Math.max(1, schedule.endAfterMilliseconds()), id -> endCalls());
        mCheckTimer = vertx.setPeriodic(CHECK_INTERVAL_MILLISECONDS, id -> endIfIdle());
    }

    /** Returns whether new calls are refused. */
    boolean isRefusing() {
        return mRefusing;
    }

    private void startRefusing() {
        mRefusing = true;
        mConnections.closeIdle();
    }

    private void endIfIdle() {
        if (mRefusing && mIsIdle.getAsBoolean()) {
            end(0);
        }
    }

    private void endCalls() {
        if (!mDrained.future().isComplete()) {
            int callsLeft = mCalls.size();
            List.copyOf(mCalls).forEach(GuardedCall::gatewayStopping);
            mVertx.setTimer(LAST_RESPONSES_MILLISECONDS, id -> end(callsLeft));
        }
    }

    private void end(int callsLeft) {
        mVertx.cancelTimer(mCheckTimer);
        if (mDrained.tryComplete()) {
            LOG.info("gateway.drained", "calls_left", callsLeft);
        }
    }
}
