package org.skylarkbend.control.feed;

import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;

/**
 * The state of one incarnation of a router as known to the leader.
 *
 * @param vm the VM of the router
 * @param dataCentre the data centre of the router
 * @param incarnation the number that the router chose when it started
 * @param revision the latest revision that the router reported as served
 * @param lastHeartbeatMilliseconds the time at which the last heartbeat arrived
 * @param servesUntilMilliseconds the time at which the latest lease has certainly expired, even
 *     with clock drift; 0 before the first lease
 */
public record RouterRecord(
        ObjectName vm,
        ObjectName dataCentre,
        long incarnation,
        long revision,
        long lastHeartbeatMilliseconds,
        long servesUntilMilliseconds) {
    /** Returns the record of a router without a lease. */
    static RouterRecord withoutLease(RouterHello hello, long nowMilliseconds) {
        return new RouterRecord(
                hello.vm(), hello.dataCentre(), hello.incarnation(), 0, nowMilliseconds, 0);
    }

    /** Returns whether the router may still be serving. */
    public boolean isLive(long nowMilliseconds) {
        return nowMilliseconds < servesUntilMilliseconds;
    }

    RouterRecord withHeartbeat(long heartbeatRevision, long nowMilliseconds) {
        return new RouterRecord(
                vm,
                dataCentre,
                incarnation,
                Math.max(revision, heartbeatRevision),
                nowMilliseconds,
                servesUntilMilliseconds);
    }

    RouterRecord withLease(long untilMilliseconds) {
        return new RouterRecord(
                vm,
                dataCentre,
                incarnation,
                revision,
                lastHeartbeatMilliseconds,
                untilMilliseconds);
    }
}
