package org.skylarkbend.control.log;

import io.vertx.core.Future;
import org.skylarkbend.base.Result;

/**
 * Access to the replicated log for the tasks of the control process. Futures complete on the
 * context of the caller.
 */
public interface ControlLog {
    /**
     * Proposes an entry to the log.
     *
     * @return the result of the state machine once the entry is committed, synced and applied;
     *     {@code NO_LEADER} if the entry was definitely not accepted, {@code COMMIT_UNKNOWN} if
     *     that is uncertain
     */
    Future<Result<byte[]>> propose(ControlEntry entry);

    /**
     * Confirms with a quorum that this member still leads.
     *
     * @return success if this member was the leader after the call was made; every entry committed
     *     before the call has then been applied and its changes have been posted to the tasks
     */
    Future<Result<Long>> confirmLeadership();

    /** Returns the state of the log as known to this member. */
    Future<LogStatus> status();
}
