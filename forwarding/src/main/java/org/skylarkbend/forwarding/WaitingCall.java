package org.skylarkbend.forwarding;

import org.skylarkbend.forwarding.AdmissionMessage.CallArrived;

/** A waiting call and its arrival time. */
record WaitingCall(CallArrived call, long arrivedMilliseconds) {
    /**
     * The effective priority of calls that are close to their deadline; they precede all others.
     */
    static final int URGENT_PRIORITY = -1;

    /**
     * Returns the effective priority at the given time. It decreases linearly from the priority of
     * the call to 0 over the first half of the deadline, and becomes {@link #URGENT_PRIORITY} at
     * three quarters of it.
     */
    int effectivePriorityAt(long nowMilliseconds) {
        long waitedMilliseconds = nowMilliseconds - arrivedMilliseconds;
        long deadlineMilliseconds = call.deadlineMilliseconds();
        if (4 * waitedMilliseconds >= 3 * deadlineMilliseconds) {
            return URGENT_PRIORITY;
        }
        long decrease = 2 * waitedMilliseconds * call.priority() / deadlineMilliseconds;
        return (int) Math.max(0, call.priority() - decrease);
    }

    /** Returns the latest time at which the call may start. */
    long startByMilliseconds() {
        return arrivedMilliseconds + call.deadlineMilliseconds();
    }
}
