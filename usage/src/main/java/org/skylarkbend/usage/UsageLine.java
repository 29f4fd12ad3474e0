package org.skylarkbend.usage;

/**
 * Tokens that a router has settled.
 *
 * @param subject the customer, key and route to which the tokens are attributed
 * @param epochDay the UTC day on which the responses ended, in days since 1970-01-01
 * @param tokens the token counts
 */
public record UsageLine(UsageSubject subject, long epochDay, UsageTokens tokens) {}
