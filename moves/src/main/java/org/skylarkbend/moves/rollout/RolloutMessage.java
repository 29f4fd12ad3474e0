package org.skylarkbend.moves.rollout;

import java.util.Set;

/** A change of the rollouts. All changes go through the replicated log. */
public sealed interface RolloutMessage {
    /** Returns the service whose rollout changes. */
    String service();

    /** Returns the version that is brought in. */
    String version();

    /**
     * An operator has ordered a rollout.
     *
     * @param service the service
     * @param version the version to bring in
     * @param durationMilliseconds the time by which the rollout has to be completed
     */
    record Ordered(String service, String version, long durationMilliseconds)
            implements RolloutMessage {}

    /**
     * The leader has decided on the next phase.
     *
     * @param service the service
     * @param version the version that is brought in
     * @param phase the next phase
     * @param retiredVersions the versions that get no calls any more
     * @param reason the reason of a rollback; empty otherwise
     */
    record Advanced(
            String service,
            String version,
            RolloutPhase phase,
            Set<String> retiredVersions,
            String reason)
            implements RolloutMessage {
        /** Copies the set. */
        public Advanced {
            retiredVersions = Set.copyOf(retiredVersions);
        }
    }
}
