package org.skylarkbend.agreement;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.agreement.EntryContent.MembershipChange;

/** The safety properties that must hold across all members throughout a simulation. */
final class SafetyChecks {
    private static final int SNAPSHOT_BYTES = 96;

    private final Map<Long, MemberId> mLeaderOfTerm = new HashMap<>();
    private final List<LogEntry> mCommitted = new ArrayList<>();
    private final List<Long> mPrefixHashes = new ArrayList<>(List.of(0L));
    private final Set<EntryContent> mCommittedContents = new HashSet<>();
    private final Set<EntryContent> mRejected = new HashSet<>();
    private Membership mMembership = Membership.none();
    private long mAcknowledgedIndex;
    private int mConfirmedReads;

    void recordLeader(MemberId member, long term) {
        MemberId known = mLeaderOfTerm.putIfAbsent(term, member);
        check(known == null || known.equals(member), "term " + term + " has two leaders");
    }

    /** Records an applied entry. All members must apply the same entries in the same order. */
    void recordApplied(LogEntry entry, long afterIndex) {
        check(entry.index() == afterIndex + 1, "entry " + entry.index() + " after " + afterIndex);
        if (entry.index() <= mCommitted.size()) {
            LogEntry known = mCommitted.get((int) entry.index() - 1);
            check(known.equals(entry), "committed entry " + entry.index() + " was changed");
            return;
        }
        check(!mRejected.contains(entry.content()), "a rejected proposal was committed");
        mCommitted.add(entry);
        mPrefixHashes.add(mPrefixHashes.get(mPrefixHashes.size() - 1) * 31 + entry.hashCode());
        mCommittedContents.add(entry.content());
        if (entry.content() instanceof MembershipChange change) {
            mMembership = change.membership();
        }
    }

    byte[] snapshotAt(long index) {
        return ByteBuffer.allocate(SNAPSHOT_BYTES).putLong(mPrefixHashes.get((int) index)).array();
    }

    void checkRestored(Snapshot snapshot) {
        check(
                snapshot.index() <= mCommitted.size(),
                "a snapshot covers entries that were never committed");
        long hash = ByteBuffer.wrap(snapshot.data()).getLong();
        check(hash == mPrefixHashes.get((int) snapshot.index()), "a snapshot differs from the log");
    }

    void acknowledged(long index) {
        mAcknowledgedIndex = Math.max(mAcknowledgedIndex, index);
    }

    void recordRejected(EntryContent content) {
        check(!mCommittedContents.contains(content), "a committed proposal was rejected");
        mRejected.add(content);
    }

    long acknowledgedIndex() {
        return mAcknowledgedIndex;
    }

    void checkRead(long appliedIndex, long acknowledgedAtRequestIndex) {
        mConfirmedReads++;
        check(
                appliedIndex >= acknowledgedAtRequestIndex,
                "a read saw index "
                        + appliedIndex
                        + " after "
                        + acknowledgedAtRequestIndex
                        + " was acknowledged");
    }

    Membership committedMembership() {
        return mMembership;
    }

    int confirmedReads() {
        return mConfirmedReads;
    }

    static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
