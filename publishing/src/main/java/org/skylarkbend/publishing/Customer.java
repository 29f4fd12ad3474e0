package org.skylarkbend.publishing;

import org.skylarkbend.base.ObjectName;

/**
 * A customer of a published set, with its rate limit, monthly grant and scheduling weight.
 *
 * @param name the unique name of the customer
 * @param rate the name of the rate that limits its calls
 * @param grantPerMonth the maximum cost of its calls per month, in the currency of its rate
 * @param weight its relative share among the queued calls of customers of the same priority
 */
public record Customer(ObjectName name, ObjectName rate, double grantPerMonth, int weight) {}
