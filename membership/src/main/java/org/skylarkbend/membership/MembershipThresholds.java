package org.skylarkbend.membership;

/**
 * Thresholds that apply to evidence about endpoints.
 *
 * @param suspectFailures the number of consecutive failures that make an endpoint suspect
 * @param suspectAfterMilliseconds the time without a sign of life after which an endpoint is
 *     suspect
 * @param deadAfterMilliseconds the time without a sign of life after which an endpoint is dead
 */
public record MembershipThresholds(
        int suspectFailures, long suspectAfterMilliseconds, long deadAfterMilliseconds) {
    private static final int DEFAULT_SUSPECT_FAILURES = 2;
    private static final long DEFAULT_SUSPECT_AFTER_MILLISECONDS = 3_000;
    private static final long DEFAULT_DEAD_AFTER_MILLISECONDS = 30_000;

    /** Throws {@link IllegalArgumentException} if the thresholds contradict one another. */
    public MembershipThresholds {
        if (suspectFailures < 1 || suspectAfterMilliseconds >= deadAfterMilliseconds) {
            throw new IllegalArgumentException(
                    "suspectFailures must be positive and suspectAfterMilliseconds below"
                            + " deadAfterMilliseconds");
        }
    }

    /** Returns the default thresholds. */
    public static MembershipThresholds defaults() {
        return new MembershipThresholds(
                DEFAULT_SUSPECT_FAILURES,
                DEFAULT_SUSPECT_AFTER_MILLISECONDS,
                DEFAULT_DEAD_AFTER_MILLISECONDS);
    }
}
