package org.skylarkbend.placement.pool;

/**
 * Estimates the time from the sending of a prompt to the first event of its response, from the
 * tokens that the engine has to process before it: those of the prompts ahead and its own.
 *
 * <p>It is a line that is fitted to the responses seen, of which older ones count less, and to a
 * speed assumed before there were any. The tokens are an estimate themselves, since a router does
 * not know what engines have cached; the fit makes up for that as well. Confined to one task.
 */
public final class FirstEventEstimate {
    /** Weight of an observation after each further one: some 50 of them determine the line. */
    private static final double DECAY = 0.98;

    /** Number of observations that the assumed speed counts as. */
    private static final double ASSUMED_WEIGHT = 3;

    /** Tokens at which the assumed speed is taken into the fit. */
    private static final double ASSUMED_TOKENS = 10_000;

    /**
     * Factor of the estimate, and time beside it, to which longer observations are cut. An engine
     * that loads weights or stands still says nothing about its speed.
     */
    private static final double MAX_FACTOR = 4;

    private static final double MAX_EXTRA_MILLISECONDS = 100;
    private static final double MAX_TOKENS_PER_MILLISECOND = 2_000;
    private static final double MIN_TOKENS_PER_MILLISECOND = 5;

    private double mWeight;
    private double mTokens;
    private double mMilliseconds;
    private double mTokensSquared;
    private double mTokensMilliseconds;
    private double mInterceptMilliseconds;
    private double mMillisecondsPerToken;

    /**
     * Creates an estimate without observations.
     *
     * @param tokensPerMillisecond assumed speed of an engine
     */
    public FirstEventEstimate(double tokensPerMillisecond) {
        mMillisecondsPerToken = 1 / tokensPerMillisecond;
        add(0, 0, ASSUMED_WEIGHT);
        add(ASSUMED_TOKENS, ASSUMED_TOKENS * mMillisecondsPerToken, ASSUMED_WEIGHT);
    }

    /** Returns the expected time until the first event. */
    public double milliseconds(double tokens) {
        return mInterceptMilliseconds + mMillisecondsPerToken * tokens;
    }

    /** Returns the number of tokens that an engine processes in a millisecond. */
    public double tokensPerMillisecond() {
        return 1 / mMillisecondsPerToken;
    }

    /**
     * Records a response.
     *
     * @param tokens tokens that the engine had to process before the first event
     * @param milliseconds time until the first event
     */
    public void observed(double tokens, double milliseconds) {
        double most = milliseconds(tokens) * MAX_FACTOR + MAX_EXTRA_MILLISECONDS;
        mWeight *= DECAY;
        mTokens *= DECAY;
        mMilliseconds *= DECAY;
        mTokensSquared *= DECAY;
        mTokensMilliseconds *= DECAY;
        add(tokens, Math.min(milliseconds, most), 1);
        fit();
    }

    private void add(double tokens, double milliseconds, double weight) {
        mWeight += weight;
        mTokens += weight * tokens;
        mMilliseconds += weight * milliseconds;
        mTokensSquared += weight * tokens * tokens;
        mTokensMilliseconds += weight * tokens * milliseconds;
    }

    /** Fits a line by least squares, whose slope and intercept stay within sensible bounds. */
    private void fit() {
        double variance = mWeight * mTokensSquared - mTokens * mTokens;
        double covariance = mWeight * mTokensMilliseconds - mTokens * mMilliseconds;
        if (variance > 0) {
            mMillisecondsPerToken =
                    Math.max(
                            1 / MAX_TOKENS_PER_MILLISECOND,
                            Math.min(1 / MIN_TOKENS_PER_MILLISECOND, covariance / variance));
        }
        mInterceptMilliseconds =
                Math.max(0, (mMilliseconds - mMillisecondsPerToken * mTokens) / mWeight);
    }
}
