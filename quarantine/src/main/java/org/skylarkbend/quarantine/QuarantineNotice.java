package org.skylarkbend.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * Message of control to the gateways.
 *
 * @param watched parts that waited at crashed engines; gateways report when they are answered
 * @param remainingMilliseconds remaining time of each quarantine in force
 */
public record QuarantineNotice(
        Set<PromptPart> watched, Map<PartCombination, Long> remainingMilliseconds) {
    /** Creates the record with copies of the collections. */
    public QuarantineNotice {
        watched = Set.copyOf(watched);
        remainingMilliseconds = Map.copyOf(remainingMilliseconds);
    }

    /** Returns the notice before control has sent any. */
    public static QuarantineNotice none() {
        return new QuarantineNotice(Set.of(), Map.of());
    }
}
