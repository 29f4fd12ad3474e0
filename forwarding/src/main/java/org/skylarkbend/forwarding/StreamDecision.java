package org.skylarkbend.forwarding;

import java.util.List;

/** The result of {@link StreamDecider}: the new state and the actions to take. */
public record StreamDecision(StreamState state, List<StreamEffect> effects) {
    /** Copies the list of effects. */
    public StreamDecision {
        effects = List.copyOf(effects);
    }
}
