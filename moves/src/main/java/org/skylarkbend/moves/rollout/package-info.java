/**
 * Brings a new version of a service's software into service: a trial with a small share of the
 * calls, growing shares once the trial shows nothing bad, and completion, or a rollback.
 *
 * <p>The order and each change of phase go through the replicated log. The evidence about the new
 * version stays with the leader: a new leader collects it again.
 */
package org.skylarkbend.moves.rollout;
