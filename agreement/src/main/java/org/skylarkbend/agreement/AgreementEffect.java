package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.base.SkylarkError;

/** What a member has decided to do, to be carried out in order. */
public sealed interface AgreementEffect {
    /** Send a message once the persist of this number is synced; 0 means at once. */
    record Send(MemberId to, AgreementMessage message, long afterPersist)
            implements AgreementEffect {}

    /** Send a message to every VM of the settings. */
    record Broadcast(AgreementMessage message) implements AgreementEffect {}

    /**
     * Write and sync. An entry replaces all entries from its index on.
     *
     * @param number counts up; persists and saves of snapshots are done in order
     * @param hardState the term and vote, where they changed
     * @param entries the entries to append
     */
    record Persist(long number, Optional<HardState> hardState, List<LogEntry> entries)
            implements AgreementEffect {
        /** Copies the entries. */
        public Persist {
            entries = List.copyOf(entries);
        }
    }

    /** Write and sync a snapshot, then replace the log by the hard state and these entries. */
    record SaveSnapshot(
            long number, HardState hardState, Snapshot snapshot, List<LogEntry> remaining)
            implements AgreementEffect {
        /** Copies the entries. */
        public SaveSnapshot {
            remaining = List.copyOf(remaining);
        }
    }

    /** Apply a committed entry, and answer the proposal that it came from, if that was here. */
    record Apply(LogEntry entry, OptionalLong proposalId) implements AgreementEffect {}

    /** Replace the state machine's state. */
    record Restore(Snapshot snapshot) implements AgreementEffect {}

    /** Take a snapshot of the state machine, which has applied exactly the entries up to here. */
    record TakeSnapshot(long index) implements AgreementEffect {}

    /** Answer a proposal that was not committed, or of which nothing is known. */
    record FailProposal(long proposalId, SkylarkError error) implements AgreementEffect {}

    /**
     * Answer a reader: this member led after the question came, and has applied up to the index.
     */
    record LeadershipConfirmed(long confirmationId, long appliedIndex) implements AgreementEffect {}

    /** Answer a reader: this member does not lead, or cannot prove it. */
    record ConfirmationFailed(long confirmationId, SkylarkError error) implements AgreementEffect {}

    /** The role, term or known leader changed. */
    record RoleChanged(MemberRole role, long term, Optional<MemberId> leader)
            implements AgreementEffect {}
}
