package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.agreement.EntryContent.MembershipChange;

/**
 * The log entries in memory, which follow the last compacted entry at the base index. Owned by one
 * decider.
 */
final class ReplicatedLog {
    private final List<LogEntry> mEntries = new ArrayList<>();
    private long mEntriesBytes;
    private long mBaseIndex;
    private long mBaseTerm;
    private Membership mBaseMembership = Membership.none();
    private Membership mMembership = Membership.none();
    private long mMembershipIndex;

    /** Returns the log recovered from disk. */
    static ReplicatedLog recovered(DurableState durable) {
        ReplicatedLog log = new ReplicatedLog();
        durable.snapshot().ifPresent(snapshot -> log.resetToSnapshot(snapshot, List.of()));
        for (LogEntry entry : durable.entries()) {
            if (entry.index() > log.lastIndex()) {
                log.append(entry);
            }
        }
        return log;
    }

    long baseIndex() {
        return mBaseIndex;
    }

    long baseTerm() {
        return mBaseTerm;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    /** Returns the size of the entries in memory. */
    long sizeBytes() {
        return mEntriesBytes;
    }

    long lastTerm() {
        return mEntries.isEmpty() ? mBaseTerm : mEntries.get(mEntries.size() - 1).term();
    }

    /** Returns the newest membership, committed or not. */
    Membership membership() {
        return mMembership;
    }

    /** Returns the index of the entry that set the newest membership. */
    long membershipIndex() {
        return mMembershipIndex;
    }

    /** Returns the membership as of this entry. */
    Membership membershipAt(long index) {
        Membership membership = mBaseMembership;
        for (LogEntry entry : between(mBaseIndex, index)) {
            if (entry.content() instanceof MembershipChange change) {
                membership = change.membership();
            }
        }
        return membership;
    }

    /** Returns the term of an entry, or empty if the entry is compacted or not in the log. */
    Optional<Long> termAt(long index) {
        if (index == mBaseIndex) {
            return Optional.of(mBaseTerm);
        }
        if (index < mBaseIndex || index > lastIndex()) {
            return Optional.empty();
        }
        return Optional.of(entryAt(index).term());
    }

    boolean containsEntry(long index, long term) {
        return termAt(index).filter(known -> known == term).isPresent();
    }

    LogEntry entryAt(long index) {
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow entry " + lastIndex());
        }
        mEntries.add(entry);
        mEntriesBytes += entry.sizeBytes();
        if (entry.content() instanceof MembershipChange change) {
            mMembership = change.membership();
            mMembershipIndex = entry.index();
        }
    }

    /** Removes all entries from this index on. */
    void truncateFrom(long index) {
        if (index > lastIndex()) {
            return;
        }
        remove(mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()));
        recomputeMembership();
    }

    /** Replaces the content of the log with a snapshot and the entries that follow it. */
    void resetToSnapshot(Snapshot snapshot, List<LogEntry> following) {
        remove(mEntries);
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mBaseMembership = snapshot.membership();
        recomputeMembership();
        following.forEach(this::append);
    }

    /** Removes the entries up to and including this index. */
    void compactUpTo(long index) {
        if (index <= mBaseIndex) {
            return;
        }
        long term = termAt(index).orElseThrow();
        Membership membership = membershipAt(index);
        remove(mEntries.subList(0, (int) (index - mBaseIndex)));
        mBaseIndex = index;
        mBaseTerm = term;
        mBaseMembership = membership;
    }

    /**
     * Returns the index up to which entries can be removed so that at most this number of entries
     * and bytes up to another index are kept.
     */
    long indexBeforeNewest(long toIndex, int maxEntries, long maxBytes) {
        long index = toIndex;
        long keptBytes = 0;
        while (index > mBaseIndex && toIndex - index < maxEntries) {
            keptBytes += entryAt(index).sizeBytes();
            if (keptBytes > maxBytes) {
                break;
            }
            index--;
        }
        return index;
    }

    /** Returns the entries after one index, up to and including another. */
    List<LogEntry> between(long afterIndex, long toIndex) {
        int from = (int) (Math.max(afterIndex, mBaseIndex) - mBaseIndex);
        int to = (int) (Math.min(toIndex, lastIndex()) - mBaseIndex);
        return from >= to ? List.of() : List.copyOf(mEntries.subList(from, to));
    }

    /**
     * Returns as many entries after an index as fit into the size, but at least one if there is
     * any.
     */
    List<LogEntry> batchAfter(long afterIndex, long toIndex, int maxBytes) {
        List<LogEntry> batch = new ArrayList<>();
        long batchBytes = 0;
        for (long index = afterIndex + 1; index <= toIndex; index++) {
            LogEntry entry = entryAt(index);
            batchBytes += entry.sizeBytes();
            if (batchBytes > maxBytes && !batch.isEmpty()) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    private void remove(List<LogEntry> entries) {
        mEntriesBytes -= entries.stream().mapToLong(LogEntry::sizeBytes).sum();
        entries.clear();
    }

    private void recomputeMembership() {
        mMembership = mBaseMembership;
        mMembershipIndex = mBaseIndex;
        for (LogEntry entry : mEntries) {
            if (entry.content() instanceof MembershipChange change) {
                mMembership = change.membership();
                mMembershipIndex = entry.index();
            }
        }
    }
}
