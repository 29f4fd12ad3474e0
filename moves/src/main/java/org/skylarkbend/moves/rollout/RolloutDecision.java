package org.skylarkbend.moves.rollout;

import java.util.Optional;

/**
 * What the leader does about a rollout now.
 *
 * @param share the share of the calls that the new version gets, from 0 to 1
 * @param advance the next phase, if it is due
 */
public record RolloutDecision(double share, Optional<RolloutMessage.Advanced> advance) {}
