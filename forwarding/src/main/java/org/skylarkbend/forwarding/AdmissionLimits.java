package org.skylarkbend.forwarding;

/**
 * Limits of the waiting queue of one pool.
 *
 * @param maxWaitingPerPriority the maximum number of waiting calls of one priority
 * @param maxWaitingPerCustomer the maximum number of waiting calls of one customer within one
 *     priority
 */
public record AdmissionLimits(int maxWaitingPerPriority, int maxWaitingPerCustomer) {}
