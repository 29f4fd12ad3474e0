package org.skylarkbend.gateway.front;

import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.endpoints.EndpointSelector;

/**
 * Reports the work in flight of this gateway to the other gateways, through control.
 *
 * <p>It is confined to the task that serves the calls.
 */
final class WorkReport {
    /** Interval between two checks for changed work. */
    static final long CHECK_INTERVAL_MILLISECONDS = 100;

    /** Interval after which unchanged work is sent again, because control may have a new leader. */
    private static final long RESEND_MILLISECONDS = 500;

    private final EndpointSelector mSelector;
    private final Consumer<WorkUnderWay> mOnWork;
    private WorkUnderWay mLastSent = new WorkUnderWay(Map.of());
    private long mLastSentMilliseconds;

    WorkReport(EndpointSelector selector, Consumer<WorkUnderWay> onWork) {
        mSelector = selector;
        mOnWork = onWork;
    }

    /** Sends the work if it has changed or the resend interval has passed. */
    void sendIfDue(long nowMilliseconds) {
        WorkUnderWay work = new WorkUnderWay(mSelector.ownWork());
        boolean isDue = nowMilliseconds - mLastSentMilliseconds >= RESEND_MILLISECONDS;
        if (isDue || !work.equals(mLastSent)) {
            mLastSent = work;
            mLastSentMilliseconds = nowMilliseconds;
            mOnWork.accept(work);
        }
    }
}
