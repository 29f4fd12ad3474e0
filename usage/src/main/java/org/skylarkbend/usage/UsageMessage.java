package org.skylarkbend.usage;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/**
 * A message between a router and the usage slice of the control process, carried in a {@code
 * SliceMessage}.
 */
public sealed interface UsageMessage {
    /** The name of usage on the feed and in the log. */
    String SLICE = "usage";

    /** A request from a router. */
    sealed interface Request extends UsageMessage {
        /** Returns the name of the VM on which the router runs. */
        ObjectName router();

        /** Returns the incarnation number that the router chose at its start. */
        long incarnation();
    }

    /**
     * Report from a router about the tokens settled since its previous report. The router resends a
     * report until it is acknowledged, and only then sends the next one.
     *
     * @param sequence the sequence number, 1 for the first report of an incarnation and increasing
     *     by one
     * @param isLast true if this is the last report of a router that is shutting down
     */
    record Report(
            ObjectName router,
            long incarnation,
            long sequence,
            boolean isLast,
            List<UsageLine> lines)
            implements Request {
        /** Copies the list of lines. */
        public Report {
            lines = List.copyOf(lines);
        }
    }

    /**
     * Acknowledgement from control: all reports up to this sequence number are counted, committed
     * and synced.
     */
    record Acknowledged(long incarnation, long sequence) implements UsageMessage {}

    /**
     * Notification from control about the customers whose grant for the month is used up. It
     * replaces earlier notifications and applies only to that month.
     *
     * @param month the month in UTC, as 12 × year + month − 1
     */
    record GrantsUsedUp(long month, List<ObjectName> customers) implements UsageMessage {
        /** Copies the list of customers. */
        public GrantsUsedUp {
            customers = List.copyOf(customers);
        }
    }

    /** Request to read the whole state through the log; the response is a {@link UsageSnapshot}. */
    record ReadUsage() implements UsageMessage {}
}
