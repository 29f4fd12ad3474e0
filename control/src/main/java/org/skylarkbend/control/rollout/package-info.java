/** Runs the rollouts of new versions at the leader, and keeps them in the replicated state. */
package org.skylarkbend.control.rollout;
