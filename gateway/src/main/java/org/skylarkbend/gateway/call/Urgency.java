package org.skylarkbend.gateway.call;

import org.skylarkbend.gateway.endpoints.EngineChoice;

/**
 * Priority of a call at an engine.
 *
 * <p>The priority of the customer overrides that of the route. A call that will miss its target
 * comes after all calls that can still meet theirs. Serving in order of arrival would make every
 * call late in an overload.
 *
 * @param level priority from 0, the most urgent, to 9
 */
record Urgency(int level) {
    private static final int LEAST_URGENT_LEVEL = 9;

    /**
     * Level of calls that will miss their target. It is less urgent than the priorities that
     * operators assign.
     */
    private static final int LATE_LEVEL = 8;

    /** Assumed prompt processing rate of an engine, which is that of the slower model. */
    private static final long PROMPT_TOKENS_PER_MILLISECOND = 30;

    /**
     * Denominator of the fraction of the target latency that may be spent on the prompts ahead in
     * the queue.
     */
    private static final long QUEUE_SHARE_DENOMINATOR = 4;

    private static final long QUEUE_SHARE_NUMERATOR = 3;

    static Urgency of(CallRequest call, EngineChoice choice) {
        int minLevel = isLate(call, choice) ? LATE_LEVEL : 0;
        return new Urgency(Math.max(minLevel, Math.min(LEAST_URGENT_LEVEL, call.priority())));
    }

    /**
     * Returns whether the prompts ahead of the call make it miss its target. Where the first event
     * is estimated from responses no call counts as late: the estimate includes the waits of calls
     * that were put behind others, so that it would confirm itself.
     */
    private static boolean isLate(CallRequest call, EngineChoice choice) {
        if (choice.firstEventMilliseconds().isPresent()) {
            return false;
        }
        long targetMilliseconds = call.route().targetMilliseconds();
        long maxTokensAhead =
                targetMilliseconds
                        * PROMPT_TOKENS_PER_MILLISECOND
                        * QUEUE_SHARE_NUMERATOR
                        / QUEUE_SHARE_DENOMINATOR;
        return choice.tokensAhead() > maxTokensAhead;
    }

    String header() {
        return Integer.toString(level);
    }
}
