package org.skylarkbend.gateway.call;

import org.skylarkbend.gateway.endpoints.EngineChoice;

/**
 * Priority of a call at an engine.
 *
 * <p>The priority of the customer overrides that of the route. A call that will miss its target
 * comes after calls that can still meet theirs. Serving in order of arrival would make every call
 * late in an overload.
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

    /**
     * Levels of a priority where the speed of the engine is learned: one for calls in time and one
     * for late ones. Late calls stay ahead of lower priorities, because the estimate counts all
     * prompts at the engine although it processes urgent ones first; calls behind all others would
     * also confirm it.
     */
    private static final int LEVELS_OF_A_PRIORITY = 2;

    /** Assumed prompt processing rate of an engine, which is that of the slower model. */
    private static final long PROMPT_TOKENS_PER_MILLISECOND = 30;

    /**
     * Denominator of the fraction of the target latency that may be spent on the prompts ahead in
     * the queue.
     */
    private static final long QUEUE_SHARE_DENOMINATOR = 4;

    private static final long QUEUE_SHARE_NUMERATOR = 3;

    static Urgency of(CallRequest call, EngineChoice choice) {
        boolean isLate = isLate(call, choice);
        int level =
                choice.firstEventMilliseconds().isPresent()
                        ? LEVELS_OF_A_PRIORITY * call.priority() + (isLate ? 1 : 0)
                        : Math.max(isLate ? LATE_LEVEL : 0, call.priority());
        return new Urgency(Math.min(LEAST_URGENT_LEVEL, level));
    }

    /**
     * Returns whether the call will miss its target. Where the speed of the engine is not learned,
     * that is judged by the prompts ahead of the call alone.
     */
    private static boolean isLate(CallRequest call, EngineChoice choice) {
        long targetMilliseconds = call.route().targetMilliseconds();
        if (choice.firstEventMilliseconds().isPresent()) {
            return choice.firstEventMilliseconds().getAsLong() > targetMilliseconds;
        }
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
