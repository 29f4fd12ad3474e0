package org.skylarkbend.orders;

import java.util.Optional;

/**
 * State of one endpoint as known to a commander.
 *
 * @param fencing the treatment of old fencing numbers by the endpoint
 * @param lastReport its last report
 * @param reportUsable true if the report is newer than every order of this and earlier commanders
 * @param isProbing true if the order in progress is the probe for {@link Fencing}
 * @param step the operation in progress
 * @param nextAtMilliseconds the earliest time of the next operation
 * @param failures the number of consecutive failed attempts
 */
public record EndpointOrders(
        Fencing fencing,
        Optional<EndpointReport> lastReport,
        boolean reportUsable,
        boolean isProbing,
        Step step,
        long nextAtMilliseconds,
        int failures) {
    /** Operation in progress on an endpoint. */
    public enum Step {
        /** No operation. */
        IDLE,
        /** A state request is in flight. */
        READING,
        /** An order is in flight. */
        ORDERING
    }

    /** Returns the state of an endpoint that has not been contacted yet. */
    public static EndpointOrders initial(Fencing fencing) {
        return new EndpointOrders(fencing, Optional.empty(), false, false, Step.IDLE, 0, 0);
    }

    EndpointOrders reading() {
        return new EndpointOrders(
                fencing, lastReport, false, false, Step.READING, nextAtMilliseconds, failures);
    }

    EndpointOrders read(EndpointReport report, long nextReadAtMilliseconds) {
        return new EndpointOrders(
                fencing,
                Optional.of(report),
                step == Step.READING,
                false,
                Step.IDLE,
                nextReadAtMilliseconds,
                0);
    }

    EndpointOrders ordering(boolean probing) {
        return new EndpointOrders(
                fencing, lastReport, false, probing, Step.ORDERING, nextAtMilliseconds, failures);
    }

    EndpointOrders withFencing(Fencing newFencing) {
        return new EndpointOrders(
                newFencing,
                lastReport,
                reportUsable,
                isProbing,
                step,
                nextAtMilliseconds,
                failures);
    }

    /** Returns an idle state in which the endpoint can be read again. */
    EndpointOrders idle(long atMilliseconds, int failedAttempts) {
        return new EndpointOrders(
                fencing, lastReport, false, false, Step.IDLE, atMilliseconds, failedAttempts);
    }
}
