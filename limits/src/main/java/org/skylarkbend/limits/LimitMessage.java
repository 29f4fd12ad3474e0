package org.skylarkbend.limits;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/**
 * A message between the limit owner and a router.
 *
 * <p>All totals count from the moment at which the router joined the term, so that repeated and
 * delayed messages are harmless. A message of another term is ignored.
 */
public sealed interface LimitMessage {
    /** Owner to router: a term has begun, and the router must report everything that it holds. */
    record TermBegan(long term) implements LimitMessage {}

    /**
     * Router to owner: usage, holdings and requests.
     *
     * @param term the term that the router has joined
     * @param sequence the report number, which increases within one incarnation of the router
     * @param complete true if the report lists every customer of which the router holds tokens
     * @param entries the changes since the last report that the owner confirmed
     */
    record Report(long term, long sequence, boolean complete, List<ReportEntry> entries)
            implements LimitMessage {
        /** Copies the entries. */
        public Report {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Owner to router: granted totals and recalls.
     *
     * @param term the term of the owner
     * @param reportSequence the newest report that the owner has processed
     * @param entries the totals and recalls
     */
    record Grants(long term, long reportSequence, List<GrantEntry> entries)
            implements LimitMessage {
        /** Copies the entries. */
        public Grants {
            entries = List.copyOf(entries);
        }
    }

    /**
     * State of one customer at a router.
     *
     * @param customer the customer
     * @param baseTokens the tokens held when the router joined the term
     * @param usedTokens the total of used tokens
     * @param returnedTokens the total of returned tokens
     * @param grantedTokens the total of received grants
     * @param firstWaitingTokens the tokens missing for the first waiting call; 0 if no call waits
     * @param pendingTokens the tokens missing for all waiting calls
     * @param prefetchTokens the tokens requested in advance of calls
     * @param asksForTotal true if the owner must respond with the total of its grants, so that the
     *     router can tell later grants from those that were on their way when its tokens lapsed
     */
    record ReportEntry(
            ObjectName customer,
            long baseTokens,
            long usedTokens,
            long returnedTokens,
            long grantedTokens,
            long firstWaitingTokens,
            long pendingTokens,
            long prefetchTokens,
            boolean asksForTotal) {}

    /**
     * Grants to a router for one customer.
     *
     * @param customer the customer
     * @param grantedTokens the total of all grants
     * @param recalled true if the router should return the tokens that it does not need now
     */
    record GrantEntry(ObjectName customer, long grantedTokens, boolean recalled) {}
}
