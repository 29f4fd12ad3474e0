package org.skylarkbend.gateway.front;

import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.endpoints.EndpointBoard;

/**
 * Reports the work in flight of this gateway to the other gateways, through control.
 *
 * <p>It is confined to the task that serves the calls.
 */
final class WorkReport {
    /** Interval between two checks for changed work. */
    static final long PERIOD_MILLISECONDS = 100;

    /** Interval after which unchanged work is sent again, because control may have a new leader. */
    private static final long AGAIN_MILLISECONDS = 500;

    private final EndpointBoard mBoard;
    private final Consumer<WorkUnderWay> mOnWork;
    private WorkUnderWay mTold = new WorkUnderWay(Map.of());
    private long mToldMilliseconds;

    WorkReport(EndpointBoard board, Consumer<WorkUnderWay> onWork) {
        mBoard = board;
        mOnWork = onWork;
    }

    /** Sends the work if it has changed or the resend interval has passed. */
    void tell(long nowMilliseconds) {
        WorkUnderWay work = new WorkUnderWay(mBoard.ownWork());
        boolean isDue = nowMilliseconds - mToldMilliseconds >= AGAIN_MILLISECONDS;
        if (isDue || !work.equals(mTold)) {
            mTold = work;
            mToldMilliseconds = nowMilliseconds;
            mOnWork.accept(work);
        }
    }
}
