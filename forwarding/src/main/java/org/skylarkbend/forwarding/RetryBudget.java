package org.skylarkbend.forwarding;

import java.util.Optional;

/**
 * The retry budget that all calls of a router share, which prevents retries from amplifying an
 * outage.
 *
 * <p>Each call adds {@code 1 / CALLS_PER_RETRY} of a retry, up to a limit; each retry takes one.
 *
 * @param credit the remaining budget, in units of {@code 1 / CALLS_PER_RETRY} of a retry
 */
public record RetryBudget(int credit) {
    /** The number of calls that add one retry to the budget. */
    public static final int CALLS_PER_RETRY = 10;

    /** The maximum number of retries in the budget. */
    public static final int MAX_SAVED_RETRIES = 50;

    private static final int MAX_CREDIT = MAX_SAVED_RETRIES * CALLS_PER_RETRY;

    /** Returns the full budget that a router starts with. */
    public static RetryBudget full() {
        return new RetryBudget(MAX_CREDIT);
    }

    /** Returns the budget after one more call. */
    public RetryBudget afterCall() {
        return new RetryBudget(Math.min(MAX_CREDIT, credit + 1));
    }

    /** Returns the budget after one retry, or empty if it is exhausted. */
    public Optional<RetryBudget> afterRetry() {
        return credit < CALLS_PER_RETRY
                ? Optional.empty()
                : Optional.of(new RetryBudget(credit - CALLS_PER_RETRY));
    }
}
