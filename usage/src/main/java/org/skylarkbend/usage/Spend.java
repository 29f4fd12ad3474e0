package org.skylarkbend.usage;

import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.Rate;

/** Computes the price of tokens and determines when a grant is used up. */
public final class Spend {
    private static final double TOKENS_PER_PRICE_UNIT = 1e6;

    /** Time for which used tokens may not have been reported yet, in seconds. */
    private static final long UNREPORTED_SECONDS = 70;

    /** Maximum margin for unreported tokens, as a share of the grant. */
    private static final double MAX_MARGIN_SHARE = 0.1;

    private Spend() {}

    /** Returns the price of tokens in the currency of the rate. */
    public static double of(UsageTokens tokens, Rate rate) {
        long uncachedTokens = tokens.promptTokens() - tokens.cachedTokens();
        double price =
                uncachedTokens * rate.promptPricePerMillionTokens()
                        + tokens.cachedTokens() * rate.cachedPricePerMillionTokens()
                        + tokens.answerTokens() * rate.answerPricePerMillionTokens();
        return price / TOKENS_PER_PRICE_UNIT;
    }

    /**
     * Returns whether the grant of a customer for the month is used up.
     *
     * <p>Tokens of admitted calls become known only when they are settled and reported. The grant
     * therefore counts as used up if the burst and {@value #UNREPORTED_SECONDS} seconds at the full
     * rate, at the highest price, could exceed it. This margin is limited to {@value
     * #MAX_MARGIN_SHARE} of the grant.
     */
    public static boolean isUsedUp(UsageTokens tokens, Customer customer, Rate rate) {
        double price =
                Math.max(
                        rate.answerPricePerMillionTokens(),
                        Math.max(
                                rate.promptPricePerMillionTokens(),
                                rate.cachedPricePerMillionTokens()));
        double unreportedTokens =
                rate.burstTokens() + (double) UNREPORTED_SECONDS * rate.tokensPerSecond();
        double maxMargin = customer.grantPerMonth() * MAX_MARGIN_SHARE;
        double margin = Math.min(unreportedTokens * price / TOKENS_PER_PRICE_UNIT, maxMargin);
        double spend = of(tokens, rate);
        return spend > 0 && spend + margin >= customer.grantPerMonth();
    }
}
