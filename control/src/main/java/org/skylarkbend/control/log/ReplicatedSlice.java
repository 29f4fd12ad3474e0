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
}
