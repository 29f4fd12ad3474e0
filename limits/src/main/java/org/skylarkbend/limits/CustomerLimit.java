package org.skylarkbend.limits;

import org.skylarkbend.base.ObjectName;

/**
 * Rate limit of a customer.
 *
 * @param customer the name of the customer
 * @param tokensPerSecond the fill rate of its bucket
 * @param burstTokens the capacity of its bucket
 */
public record CustomerLimit(ObjectName customer, long tokensPerSecond, long burstTokens) {}
