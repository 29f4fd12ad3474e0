package org.skylarkbend.gateway.call;

import org.skylarkbend.catalog.Customer;
import org.skylarkbend.gateway.endpoints.EngineChoice;

/**
 * How urgent a call is to an engine.
 *
 * <p>The customer's rank goes before that of the route. A call that will miss its target anyway
 * comes after all that can still meet theirs: in an overload an engine that serves in the order of
 * arrival is late for everybody.
 *
 * @param level from 0, the most urgent, to 9
 */
record Urgency(int level) {
    private static final int LEAST_URGENT = 9;

    /** The level of calls that will miss their target, below the ranks that operators give. */
    private static final int LATE = 8;

    /** The slower of the users' engines reads so many tokens in a millisecond (users' sheets). */
    private static final long TOKENS_PER_MILLISECOND = 30;

    /** The part of a target that reading the prompts ahead may take, as a divisor and its share. */
    private static final long PARTS_OF_TARGET = 4;

    private static final long PARTS_FOR_WAITING = 3;

    static Urgency of(CallRequest call, EngineChoice choice) {
        int rank =
                call.customer()
                        .map(Customer::priority)
                        .filter(java.util.OptionalInt::isPresent)
                        .map(java.util.OptionalInt::getAsInt)
                        .orElse(call.route().priority());
        int lowest = isLate(call, choice) ? LATE : 0;
        return new Urgency(Math.max(lowest, Math.min(LEAST_URGENT, rank)));
    }

    private static boolean isLate(CallRequest call, EngineChoice choice) {
        long mostTokens =
                call.route().targetMilliseconds()
                        * TOKENS_PER_MILLISECOND
                        * PARTS_FOR_WAITING
                        / PARTS_OF_TARGET;
        return choice.tokensAhead() > mostTokens;
    }

    String header() {
        return Integer.toString(level);
    }
}
