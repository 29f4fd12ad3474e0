package org.skylarkbend.moves;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.skylarkbend.base.ObjectName;

/**
 * All moves by name. This is a value: the same messages result in the same state on every control
 * VM.
 */
public record MoveState(SortedMap<ObjectName, MoveProgress> moves) {
    /** Copies the moves. */
    public MoveState {
        moves = Collections.unmodifiableSortedMap(new TreeMap<>(moves));
    }

    /** Returns a state without moves. */
    public static MoveState empty() {
        return new MoveState(new TreeMap<>());
    }

    /** Returns a state in which the function has been applied to each move. */
    MoveState with(UnaryOperator<MoveProgress> change) {
        SortedMap<ObjectName, MoveProgress> changed = new TreeMap<>();
        for (Map.Entry<ObjectName, MoveProgress> entry : moves.entrySet()) {
            changed.put(entry.getKey(), change.apply(entry.getValue()));
        }
        return new MoveState(changed);
    }
}
