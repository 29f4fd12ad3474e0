package org.skylarkbend.agreement;

import java.util.Arrays;
import org.skylarkbend.base.SkylarkError;

/** An event that a member processes. */
public sealed interface AgreementInput {
    /** A periodic timer tick. */
    record Tick() implements AgreementInput {}

    /** A message from another member. */
    record Received(MemberId from, AgreementMessage message) implements AgreementInput {}

    /** A request to commit a command. */
    record Propose(long proposalId, EntryContent.Command command) implements AgreementInput {}

    /** The process of this member is about to end. */
    record Leave() implements AgreementInput {}

    /** A request to confirm that this member is still the leader. */
    record ConfirmLeadership(long confirmationId) implements AgreementInput {}

    /** Reports that all persists up to this number are synced. */
    record Persisted(long number) implements AgreementInput {}

    /**
     * Reports that all unsynced persists up to this number failed. Their content is not in use, and
     * the next persist replaces it.
     *
     * @param error {@code STORAGE_FAILED} if none of them is on disk, {@code COMMIT_UNKNOWN} if
     *     some of them may come back with a restart
     */
    record PersistFailed(long number, SkylarkError error) implements AgreementInput {}

    /** The result of {@link AgreementEffect.CheckDisk}. */
    record DiskChecked(boolean canWrite) implements AgreementInput {}

    /** The state machine data that {@link AgreementEffect.TakeSnapshot} requested. */
    record SnapshotTaken(long index, byte[] data) implements AgreementInput {
        /** Copies the data. */
        public SnapshotTaken {
            data = data.clone();
        }

        @Override
        public byte[] data() {
            return data.clone();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SnapshotTaken taken
                    && taken.index == index
                    && Arrays.equals(taken.data, data);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(index);
        }
    }
}
