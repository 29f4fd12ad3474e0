package org.skylarkbend.agreement;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.SnapshotChunk;
import org.skylarkbend.agreement.AgreementMessage.SnapshotResponse;

/** Receives entries and snapshots from the leader. */
final class FollowerReplication {
    /**
     * A follower has room for all that a leader can have in its log, beside committed entries that
     * it has not compacted yet. Without that room the entries might never be committed.
     */
    private static final int LEADER_LOGS = 2;

    private final MemberState mState;
    private final Runnable mApplyCommitted;
    private Optional<PendingInstall> mPendingInstall = Optional.empty();
    private ByteArrayOutputStream mReceivedData = new ByteArrayOutputStream();
    private long mReceivedIndex;
    private long mReceivedInTerm;
    private long mVerifiedIndex;
    private long mVerifiedTerm;
    private long mLeaderCommitIndex;
    private long mRound;
    private long mAcknowledgedMatchIndex;

    /** A snapshot of the leader that is being written to disk. */
    private record PendingInstall(long number, Snapshot snapshot, List<LogEntry> following) {}

    FollowerReplication(MemberState state, Runnable applyCommitted) {
        mState = state;
        mApplyCommitted = applyCommitted;
    }

    boolean isInstalling() {
        return mPendingInstall.isPresent();
    }

    /** Processes an append request from the leader of the current term. */
    void receive(MemberId from, AppendRequest request) {
        startTermIfNew();
        mRound = request.round();
        if (isInstalling()) {
            respond(from, request.round(), true, 0);
            return;
        }
        if (!matchesAt(request.previousIndex(), request.previousTerm())) {
            respond(from, request.round(), false, retryIndexFor(request.previousIndex()));
            return;
        }
        mVerifiedIndex = Math.max(mVerifiedIndex, acceptEntries(request));
        mLeaderCommitIndex = Math.max(mLeaderCommitIndex, request.commitIndex());
        respond(from, request.round(), true, durableMatchIndex());
        advanceCommit();
    }

    /** Processes a snapshot chunk from the leader of the current term. */
    void receive(MemberId from, SnapshotChunk chunk) {
        startTermIfNew();
        mRound = chunk.round();
        if (chunk.index() <= mState.mCommitIndex) {
            respond(from, chunk.round(), true, Math.min(chunk.index(), mState.mPersistedIndex));
            return;
        }
        if (isInstalling()) {
            return;
        }
        boolean isNextChunk =
                mReceivedIndex == chunk.index()
                        && mReceivedInTerm == mState.mTerm
                        && mReceivedData.size() == chunk.offsetBytes();
        if (!isNextChunk && chunk.offsetBytes() != 0) {
            sendSnapshotResponse(
                    from, chunk, mReceivedIndex == chunk.index() ? mReceivedData.size() : 0);
            return;
        }
        if (!isNextChunk) {
            mReceivedData = new ByteArrayOutputStream();
            mReceivedIndex = chunk.index();
            mReceivedInTerm = mState.mTerm;
        }
        mReceivedData.writeBytes(chunk.data());
        if (chunk.last()) {
            startInstall(chunk);
        } else {
            sendSnapshotResponse(from, chunk, mReceivedData.size());
        }
    }

    /** Completes a pending install and acknowledges entries that have become durable. */
    void persisted(long number) {
        mPendingInstall
                .filter(pending -> pending.number() <= number)
                .ifPresent(this::finishInstall);
        boolean follows =
                !isInstalling()
                        && mState.mRole == MemberRole.FOLLOWER
                        && mVerifiedTerm == mState.mTerm
                        && mState.mLeader.isPresent();
        if (follows && durableMatchIndex() > mAcknowledgedMatchIndex) {
            respond(mState.mLeader.get(), mRound, true, durableMatchIndex());
            advanceCommit();
        }
    }

    /** Discards state that did not reach the disk. */
    void persistFailed() {
        mPendingInstall = Optional.empty();
        mVerifiedIndex = Math.min(mVerifiedIndex, mState.mLog.lastIndex());
        mReceivedData = new ByteArrayOutputStream();
        mReceivedIndex = 0;
    }

    /** Resets the verified range when the first message of a term arrives. */
    private void startTermIfNew() {
        if (mVerifiedTerm != mState.mTerm) {
            mVerifiedTerm = mState.mTerm;
            mVerifiedIndex = mState.mCommitIndex;
            mLeaderCommitIndex = 0;
            mAcknowledgedMatchIndex = 0;
        }
    }

    /**
     * Returns whether the log matches the leader at this entry. Compacted entries always match:
     * they are committed, and every leader has all committed entries.
     */
    private boolean matchesAt(long index, long term) {
        return index <= mState.mLog.baseIndex() || mState.mLog.containsEntry(index, term);
    }

    private long retryIndexFor(long previousIndex) {
        return Math.max(mState.mCommitIndex, Math.min(mState.mLog.lastIndex(), previousIndex - 1));
    }

    /**
     * Accepts entries as long as the log has room, and returns the index up to which it matches the
     * leader's. The leader sends the others again.
     */
    private long acceptEntries(AppendRequest request) {
        long matchIndex = request.previousIndex();
        for (LogEntry entry : request.entries()) {
            boolean isNew = entry.index() > mState.mLog.lastIndex();
            if (isNew && mState.mLog.sizeBytes() >= LEADER_LOGS * mState.mOptions.maxLogBytes()) {
                break;
            }
            acceptEntry(entry);
            matchIndex = entry.index();
        }
        return matchIndex;
    }

    private void acceptEntry(LogEntry entry) {
        if (entry.index() <= mState.mLog.baseIndex()
                || mState.mLog.containsEntry(entry.index(), entry.term())) {
            return;
        }
        if (entry.index() <= mState.mLog.lastIndex()) {
            if (entry.index() <= mState.mCommitIndex) {
                throw new IllegalStateException(
                        "the leader conflicts with committed entry " + entry.index());
            }
            mState.truncateFrom(entry.index());
        }
        mState.append(entry);
    }

    private long durableMatchIndex() {
        return Math.min(mVerifiedIndex, mState.mPersistedIndex);
    }

    private void respond(MemberId leader, long round, boolean matches, long index) {
        if (matches) {
            mAcknowledgedMatchIndex = Math.max(mAcknowledgedMatchIndex, index);
        }
        mState.mOutbox.send(leader, new AppendResponse(mState.mTerm, round, matches, index));
    }

    private void sendSnapshotResponse(MemberId leader, SnapshotChunk chunk, int nextOffsetBytes) {
        mState.mOutbox.send(
                leader,
                new SnapshotResponse(mState.mTerm, chunk.round(), chunk.index(), nextOffsetBytes));
    }

    private void advanceCommit() {
        long newCommitIndex = Math.min(mLeaderCommitIndex, durableMatchIndex());
        if (newCommitIndex > mState.mCommitIndex) {
            mState.mCommitIndex = newCommitIndex;
            mApplyCommitted.run();
        }
    }

    private void startInstall(SnapshotChunk chunk) {
        Snapshot snapshot =
                new Snapshot(
                        chunk.index(),
                        chunk.indexTerm(),
                        chunk.membership(),
                        mReceivedData.toByteArray());
        List<LogEntry> following =
                mState.mLog.containsEntry(snapshot.index(), snapshot.term())
                        ? mState.mLog.between(snapshot.index(), mState.mLog.lastIndex())
                        : List.of();
        mState.flushUnsaved();
        long number = mState.nextPersistNumber(0);
        mPendingInstall = Optional.of(new PendingInstall(number, snapshot, following));
        mState.mOutbox.add(
                new AgreementEffect.SaveSnapshot(number, mState.hardState(), snapshot, following));
        mReceivedData = new ByteArrayOutputStream();
        mReceivedIndex = 0;
    }

    private void finishInstall(PendingInstall pending) {
        mPendingInstall = Optional.empty();
        Snapshot snapshot = pending.snapshot();
        mState.resetToSnapshot(snapshot, pending.following());
        mState.mOutbox.add(new AgreementEffect.Restore(snapshot));
        mVerifiedIndex = Math.max(mVerifiedIndex, snapshot.index());
    }
}
