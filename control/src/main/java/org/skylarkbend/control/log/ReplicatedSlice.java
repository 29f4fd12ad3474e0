package org.skylarkbend.control.log;

import org.skylarkbend.base.Result;

/**
 * The replicated state machine of one slice. Confined to the context that applies the log. It must
 * be deterministic, so that every member reaches the same state.
 */
public interface ReplicatedSlice {
    /** Returns the name of the slice in entries and snapshots. */
    String name();

    /** Applies a committed message and returns the response for its proposer. */
    Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds);

    /** Returns the encoded state of the slice. */
    byte[] snapshot();

    /** Replaces the state of the slice; fails if the snapshot cannot be decoded. */
    Result<Void> restore(byte[] snapshot);

    /**
     * Returns whether the state is still the one before any message, and may be left out of
     * snapshots. A slice that returns true must also implement {@link #reset}.
     */
    default boolean isInitial() {
        return false;
    }

    /** Returns to the state before any message, because a snapshot does not contain the slice. */
    default void reset() {}
}
