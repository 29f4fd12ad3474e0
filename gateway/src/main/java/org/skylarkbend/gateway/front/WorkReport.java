package org.skylarkbend.gateway.front;

import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.endpoints.EndpointSelector;

/**
 * Reports the work in flight of this gateway to the other gateways, through control.
 *
 * <p>It is confined to the task that serves the calls.
 */
final class WorkReport {
    /** Shortest interval between two reports. */
    private static final long MIN_INTERVAL_MILLISECONDS = 100;

    /** Interval after which unchanged work is sent again, because control may have a new leader. */
    private static final long RESEND_MILLISECONDS = 500;

    private final EndpointSelector mSelector;
    private final Consumer<WorkUnderWay> mOnWork;
    private Map<String, EndpointWork> mLastSent = Map.of();
    private long mLastSentMilliseconds;
    private long mIntervalMilliseconds = MIN_INTERVAL_MILLISECONDS;

    WorkReport(EndpointSelector selector, Consumer<WorkUnderWay> onWork) {
        mSelector = selector;
        mOnWork = onWork;
    }

    /**
     * Records that control sends the next sum after the given time. Control sends sums less often
     * the more gateways there are, and reports in between would not be seen by anyone.
     */
    void sumReceived(long nextInMilliseconds) {
        mIntervalMilliseconds =
                Math.max(
                        MIN_INTERVAL_MILLISECONDS,
                        Math.min(nextInMilliseconds / 2, RESEND_MILLISECONDS));
    }

    /** Returns the time between two checks for changed work. */
    long intervalMilliseconds() {
        return mIntervalMilliseconds;
    }

    /** Sends the work if it has changed or the resend interval has passed. */
    void sendIfDue(long nowMilliseconds) {
        Map<String, EndpointWork> work = mSelector.ownWork();
        boolean isDue = nowMilliseconds - mLastSentMilliseconds >= RESEND_MILLISECONDS;
        if (isDue || !work.equals(mLastSent)) {
            mLastSent = work;
            mLastSentMilliseconds = nowMilliseconds;
            mOnWork.accept(new WorkUnderWay(work, 0));
        }
    }
}
