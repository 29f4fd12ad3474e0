package org.skylarkbend.gateway.front;

import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.endpoints.EndpointBoard;

/**
 * Tells the other gateways, by way of control, what this one has under way.
 *
 * <p>It belongs to the task that serves the calls.
 */
final class WorkReport {
    /** How often the work is looked at. */
    static final long PERIOD_MILLISECONDS = 100;

    /** Unchanged work is told again after so long: control may have another leader. */
    private static final long AGAIN_MILLISECONDS = 500;

    private final EndpointBoard mBoard;
    private final Consumer<WorkUnderWay> mOnWork;
    private WorkUnderWay mTold = new WorkUnderWay(Map.of());
    private long mToldMilliseconds;

    WorkReport(EndpointBoard board, Consumer<WorkUnderWay> onWork) {
        mBoard = board;
        mOnWork = onWork;
    }

    /** Tells the work if it has changed, or was not told for a while. */
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
