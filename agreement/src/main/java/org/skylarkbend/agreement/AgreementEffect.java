package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.base.SkylarkError;

/** An action that a member has decided on. Effects are executed in the order given. */
public sealed interface AgreementEffect {
    /** Sends a message once the persist with this number is synced; 0 means immediately. */
    record Send(MemberId to, AgreementMessage message, long afterPersist)
            implements AgreementEffect {}

    /** Sends a message to every VM with an open connection. */
    record Broadcast(AgreementMessage message) implements AgreementEffect {}

    /**
     * Writes to the log file and syncs it. An entry replaces all entries from its index on.
     *
     * @param number an increasing sequence number; persists and snapshot saves run in its order
     * @param hardState the term and vote, if they changed
     * @param entries the entries to append
     */
    record Persist(long number, Optional<HardState> hardState, List<LogEntry> entries)
            implements AgreementEffect {
        /** Copies the entries. */
        public Persist {
            entries = List.copyOf(entries);
        }
    }

    /** Saves a snapshot, then replaces the log with the hard state and the remaining entries. */
    record SaveSnapshot(
            long number, HardState hardState, Snapshot snapshot, List<LogEntry> remaining)
            implements AgreementEffect {
        /** Copies the entries. */
        public SaveSnapshot {
            remaining = List.copyOf(remaining);
        }
    }

    /** Checks, in the order of the writes, that the disk has room for this many bytes. */
    record CheckDisk(long sizeBytes) implements AgreementEffect {}

    /** Applies a committed entry and completes its proposal, if this member proposed it. */
    record Apply(LogEntry entry, OptionalLong proposalId) implements AgreementEffect {}

    /** Replaces the state of the state machine with a snapshot. */
    record Restore(Snapshot snapshot) implements AgreementEffect {}

    /** Takes a snapshot of the state machine, which has applied exactly the entries up to index. */
    record TakeSnapshot(long index) implements AgreementEffect {}

    /** Fails a proposal that was not committed or whose outcome is unknown. */
    record FailProposal(long proposalId, SkylarkError error) implements AgreementEffect {}

    /**
     * Confirms that this member was the leader after the request arrived, and that it has applied
     * all entries up to the index.
     */
    record LeadershipConfirmed(long confirmationId, long appliedIndex) implements AgreementEffect {}

    /** Fails a confirmation: this member is not the leader or cannot prove that it is. */
    record ConfirmationFailed(long confirmationId, SkylarkError error) implements AgreementEffect {}

    /** Reports a change of the role, the term or the known leader. */
    record RoleChanged(MemberRole role, long term, Optional<MemberId> leader)
            implements AgreementEffect {}

    /**
     * Reports that this leader has decided to add or remove a member.
     *
     * @param voters the number of voters after the change
     * @param intendedVoters the number of voters that the tolerated losses require
     */
    record MemberChangeDecided(
            MemberId member, boolean added, ChangeReason reason, int voters, int intendedVoters)
            implements AgreementEffect {}

    /**
     * Reports on the leader how many more losses the log bears.
     *
     * @param isNews true if the log bears too few losses now, or enough again, or if the leader is
     *     new
     */
    record LossMarginChanged(LossMargin margin, boolean isNews) implements AgreementEffect {}

    /** Reports whether this member, which is about to end, remains a voter. */
    record LeaveDecided(LeaveOutcome outcome) implements AgreementEffect {}

    /**
     * Reports a change of the newest membership in the log, committed or not.
     *
     * @param previous the voters before the change
     * @param current the voters after it
     * @param index the index of the entry that contains them
     */
    record MembershipChanged(Membership previous, Membership current, long index)
            implements AgreementEffect {}
}
