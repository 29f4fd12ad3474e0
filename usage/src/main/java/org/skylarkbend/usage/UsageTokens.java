package org.skylarkbend.usage;

/**
 * Counts of settled tokens.
 *
 * @param promptTokens the prompt tokens, including cached ones
 * @param cachedTokens the prompt tokens that an engine had in its cache
 * @param answerTokens the generated tokens
 */
public record UsageTokens(long promptTokens, long cachedTokens, long answerTokens) {
    /** Zero tokens. */
    public static final UsageTokens NONE = new UsageTokens(0, 0, 0);

    /** Rejects negative counts, and more cached tokens than prompt tokens. */
    public UsageTokens {
        if (cachedTokens < 0 || promptTokens < cachedTokens || answerTokens < 0) {
            throw new IllegalArgumentException(
                    "invalid token counts (prompt, cached, answer): "
                            + promptTokens
                            + ", "
                            + cachedTokens
                            + ", "
                            + answerTokens);
        }
    }

    /**
     * Returns the sum of two counts.
     *
     * @throws ArithmeticException if a count overflows
     */
    public UsageTokens plus(UsageTokens other) {
        return new UsageTokens(
                Math.addExact(promptTokens, other.promptTokens),
                Math.addExact(cachedTokens, other.cachedTokens),
                Math.addExact(answerTokens, other.answerTokens));
    }
}
