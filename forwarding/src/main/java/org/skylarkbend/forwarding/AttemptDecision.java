package org.skylarkbend.forwarding;

import java.util.List;

/** The result of {@link AttemptDecider}: the new state, the new budget and the actions to take. */
public record AttemptDecision(AttemptState state, RetryBudget budget, List<AttemptEffect> effects) {
    /** Copies the list of effects. */
    public AttemptDecision {
        effects = List.copyOf(effects);
    }
}
