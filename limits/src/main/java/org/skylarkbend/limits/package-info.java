/**
 * Rate limits in tokens across all VMs.
 *
 * <p>The owner of the limits, which runs beside the leader of the agreement, fills one bucket per
 * customer and grants tokens out of it to routers. {@link org.skylarkbend.limits.LimitOwnerDecider}
 * makes the decisions of the owner, {@link org.skylarkbend.limits.LimitShareDecider} those of a
 * router. The bucket, all tokens held by routers and all messages in flight together never exceed
 * the burst, so that no window of any length lets through more than the burst plus the rate times
 * its length.
 */
package org.skylarkbend.limits;
