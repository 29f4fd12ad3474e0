package org.skylarkbend.agreement;

import java.util.Arrays;

/** What a member has to decide upon. */
public sealed interface AgreementInput {
    /** Time has passed. */
    record Tick() implements AgreementInput {}

    /** A message of another member has come. */
    record Received(MemberId from, AgreementMessage message) implements AgreementInput {}

    /** A command is to be committed. */
    record Propose(long proposalId, EntryContent.Command command) implements AgreementInput {}

    /** A reader asks whether this member still leads. */
    record ConfirmLeadership(long confirmationId) implements AgreementInput {}

    /** All persists up to this number are synced. */
    record Persisted(long number) implements AgreementInput {}

    /** No persist from the oldest unsynced one up to this number has reached the disk. */
    record PersistFailed(long number, String detail) implements AgreementInput {}

    /** The state machine's state after the entry of {@link AgreementEffect.TakeSnapshot}. */
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
