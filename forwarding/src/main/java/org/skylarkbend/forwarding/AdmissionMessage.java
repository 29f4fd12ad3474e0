package org.skylarkbend.forwarding;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;

/**
 * An input message of {@link AdmissionDecider} about the waiting calls of one pool of endpoints.
 */
public sealed interface AdmissionMessage {
    /**
     * A call has arrived.
     *
     * @param call the ID of the call
     * @param customer the customer that the call is charged to in fair queueing; calls without a
     *     customer share one place, which no customer has
     * @param weight the weight of the customer in fair queueing
     * @param priority the priority; 0 is the highest
     * @param deadlineMilliseconds the maximum time in the queue
     */
    record CallArrived(
            String call,
            Optional<ObjectName> customer,
            int weight,
            int priority,
            long deadlineMilliseconds)
            implements AdmissionMessage {}

    /** A started call has ended after the given service time. */
    record Finished(String call, long serviceMilliseconds) implements AdmissionMessage {}

    /** A waiting call has been cancelled by its caller, or refused for another reason. */
    record Cancelled(String call) implements AdmissionMessage {}

    /** The number of calls that may be in service concurrently has changed. */
    record SlotsChanged(int slots) implements AdmissionMessage {}

    /** Time has passed; the deadlines of waiting calls are to be checked. */
    record TimePassed() implements AdmissionMessage {}
}
