package org.skylarkbend.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reference for comparison: one exact bucket for all routers, without message delays and with the
 * same waiting time.
 */
final class CentralBucket {
    private static final long THOUSANDTHS_PER_TOKEN = 1_000;

    private final EventTimeline mTimeline;
    private final CustomerLimit mLimit;
    private final LimitPolicy mPolicy;
    private final Deque<SimulatedCall> mWaiting = new ArrayDeque<>();
    private final Map<Long, Long> mReservedByCall = new HashMap<>();
    private final Set<Long> mAdmitted = new HashSet<>();
    private long mLevelThousandths;
    private long mReservedTokens;
    private long mFilledAtMilliseconds;
    private long mServesAtMilliseconds;

    CentralBucket(EventTimeline timeline, CustomerLimit limit, LimitPolicy policy) {
        mTimeline = timeline;
        mLimit = limit;
        mPolicy = policy;
    }

    Set<Long> admitted() {
        return mAdmitted;
    }

    void arrive(SimulatedCall call) {
        mWaiting.add(call);
        mTimeline.at(mTimeline.now() + mPolicy.waitMilliseconds(), this::serve);
        serve();
    }

    private void serve() {
        fill();
        while (!mWaiting.isEmpty()) {
            SimulatedCall call = mWaiting.peek();
            long deadlineMilliseconds = call.arrivesAtMilliseconds() + mPolicy.waitMilliseconds();
            long missingThousandths =
                    call.reservedTokens() * THOUSANDTHS_PER_TOKEN - mLevelThousandths;
            if (missingThousandths <= 0) {
                mWaiting.remove();
                admit(call);
            } else if (mTimeline.now() >= deadlineMilliseconds) {
                mWaiting.remove();
            } else {
                serveAt(mTimeline.now() + 1 + missingThousandths / mLimit.tokensPerSecond());
                return;
            }
        }
    }

    private void serveAt(long atMilliseconds) {
        if (mServesAtMilliseconds <= mTimeline.now() || atMilliseconds < mServesAtMilliseconds) {
            mServesAtMilliseconds = atMilliseconds;
            mTimeline.at(atMilliseconds, this::serve);
        }
    }

    private void admit(SimulatedCall call) {
        mAdmitted.add(call.id());
        mLevelThousandths -= call.reservedTokens() * THOUSANDTHS_PER_TOKEN;
        mReservedTokens += call.reservedTokens();
        mReservedByCall.put(call.id(), call.reservedTokens());
        long promptEnd = mTimeline.now() + call.promptMilliseconds();
        mTimeline.at(promptEnd, () -> use(call.id(), call.promptTokens()));
        mTimeline.at(promptEnd + call.responseMilliseconds(), () -> end(call));
    }

    private void use(long callId, long tokens) {
        fill();
        mReservedTokens -= tokens;
        mReservedByCall.merge(callId, -tokens, Long::sum);
    }

    private void end(SimulatedCall call) {
        use(call.id(), call.answerTokens());
        long unusedTokens = mReservedByCall.remove(call.id());
        mReservedTokens -= unusedTokens;
        mLevelThousandths += unusedTokens * THOUSANDTHS_PER_TOKEN;
        serve();
    }

    private void fill() {
        long elapsedMilliseconds = mTimeline.now() - mFilledAtMilliseconds;
        mFilledAtMilliseconds = mTimeline.now();
        long maxThousandths = (mLimit.burstTokens() - mReservedTokens) * THOUSANDTHS_PER_TOKEN;
        mLevelThousandths =
                Math.min(
                        maxThousandths,
                        mLevelThousandths + elapsedMilliseconds * mLimit.tokensPerSecond());
    }
}
