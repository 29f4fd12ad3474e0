package org.skylarkbend.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.SnapshotChunk;
import org.skylarkbend.agreement.AgreementMessage.SnapshotResponse;

/** Replicates entries and snapshots to the other members and tracks their responses. */
final class LeaderReplication {
    private static final int HEARTBEATS_BEFORE_RESEND = 5;
    private static final int MAX_MESSAGES_PER_SEND = 4;

    private final MemberState mState;
    private final Map<MemberId, MemberProgress> mProgress = new TreeMap<>();
    private final TreeMap<Long, Long> mRoundSentAtMilliseconds = new TreeMap<>();
    private long mRound;
    private long mLastRoundAtMilliseconds;

    LeaderReplication(MemberState state) {
        mState = state;
    }

    /** Starts a term. Round numbers continue, so a response from an older term confirms nothing. */
    void startTerm(long nowMilliseconds) {
        mProgress.clear();
        mRoundSentAtMilliseconds.clear();
        for (MemberId voter : mState.mLog.membership().voters()) {
            track(voter, nowMilliseconds);
        }
    }

    /** Starts tracking the progress of another member. */
    void track(MemberId member, long nowMilliseconds) {
        if (!member.equals(mState.mSelf)) {
            mProgress.computeIfAbsent(
                    member,
                    added -> new MemberProgress(mState.mLog.lastIndex() + 1, nowMilliseconds));
        }
    }

    /** Stops replicating to a member. */
    void untrack(MemberId member) {
        mProgress.remove(member);
    }

    Map<MemberId, MemberProgress> progress() {
        return mProgress;
    }

    long round() {
        return mRound;
    }

    boolean isRoundDue(long nowMilliseconds) {
        return nowMilliseconds - mLastRoundAtMilliseconds
                >= mState.mOptions.heartbeatMilliseconds();
    }

    /** Sends a heartbeat with pending entries to all members. */
    void startRound(long nowMilliseconds) {
        mRound++;
        mLastRoundAtMilliseconds = nowMilliseconds;
        mRoundSentAtMilliseconds.put(mRound, nowMilliseconds);
        for (MemberId member : List.copyOf(mProgress.keySet())) {
            sendTo(member, nowMilliseconds, true);
        }
    }

    /** Sends entries that have become durable on this member. */
    void sendNewEntries(long nowMilliseconds) {
        for (MemberId member : List.copyOf(mProgress.keySet())) {
            sendTo(member, nowMilliseconds, false);
        }
    }

    void receive(MemberId from, AppendResponse response, long nowMilliseconds) {
        MemberProgress progress = mProgress.get(from);
        if (progress == null || !response.isForOwnTerm()) {
            return;
        }
        progress.recordResponse(response.round(), nowMilliseconds);
        if (response.matches()) {
            progress.recordMatch(Math.min(response.matchIndex(), mState.mLog.lastIndex()));
            sendTo(from, nowMilliseconds, false);
        } else if (progress.recordMismatch(response.matchIndex())) {
            sendTo(from, nowMilliseconds, canSendEntries(progress));
        }
    }

    void receive(MemberId from, SnapshotResponse response, long nowMilliseconds) {
        MemberProgress progress = mProgress.get(from);
        if (progress == null) {
            return;
        }
        progress.recordResponse(response.round(), nowMilliseconds);
        boolean isInRange =
                response.nextOffsetBytes() >= 0
                        && response.nextOffsetBytes()
                                <= mState.mSnapshot.map(Snapshot::lengthBytes).orElse(0);
        if (response.index() == progress.mSnapshotIndex && isInRange) {
            progress.mSnapshotOffsetBytes = response.nextOffsetBytes();
            progress.mChunkSentAtMilliseconds = Long.MIN_VALUE / 2;
            sendTo(from, nowMilliseconds, false);
        }
    }

    /** Returns the newest round that a quorum has acknowledged. */
    long quorumRound() {
        return mState.mLog.membership().quorumValue(this::acknowledgedRound);
    }

    /** Returns the time at which the newest quorum-acknowledged round was sent. */
    long quorumRoundSentAtMilliseconds() {
        Map.Entry<Long, Long> sent = mRoundSentAtMilliseconds.floorEntry(quorumRound());
        if (sent == null) {
            return Long.MIN_VALUE / 2;
        }
        mRoundSentAtMilliseconds.headMap(sent.getKey()).clear();
        return sent.getValue();
    }

    /** Returns the index of the newest entry that is on the disks of a quorum. */
    long quorumIndex() {
        return mState.mLog.membership().quorumValue(this::durableIndex);
    }

    /** Returns whether a quorum has responded within the maximum election timeout. */
    boolean hasQuorum(long nowMilliseconds) {
        long timeoutMilliseconds = mState.mOptions.electionMaxMilliseconds();
        return mState.mLog
                .membership()
                .isQuorum(voter -> isLive(voter, nowMilliseconds, timeoutMilliseconds));
    }

    /** Returns whether a member has responded within this time. */
    boolean isLive(MemberId member, long nowMilliseconds, long timeoutMilliseconds) {
        MemberProgress progress = mProgress.get(member);
        return member.equals(mState.mSelf)
                || progress != null && progress.isLive(nowMilliseconds, timeoutMilliseconds);
    }

    /**
     * Returns whether a member has responded in this term, and within the maximum election timeout.
     */
    boolean responds(MemberId member, long nowMilliseconds) {
        MemberProgress progress = mProgress.get(member);
        return member.equals(mState.mSelf)
                || progress != null
                        && progress.hasResponded()
                        && progress.isLive(
                                nowMilliseconds, mState.mOptions.electionMaxMilliseconds());
    }

    /** Returns the time since the last response of a member, or since it has been tracked. */
    long silentMilliseconds(MemberId member, long nowMilliseconds) {
        MemberProgress progress = mProgress.get(member);
        return progress == null ? 0 : progress.silentMilliseconds(nowMilliseconds);
    }

    private long acknowledgedRound(MemberId voter) {
        if (voter.equals(mState.mSelf)) {
            return mRound;
        }
        MemberProgress progress = mProgress.get(voter);
        return progress == null ? 0 : progress.mAcknowledgedRound;
    }

    private long durableIndex(MemberId voter) {
        if (voter.equals(mState.mSelf)) {
            return mState.mPersistedIndex;
        }
        MemberProgress progress = mProgress.get(voter);
        return progress == null ? 0 : progress.mMatchIndex;
    }

    private boolean canSendEntries(MemberProgress progress) {
        return progress.mNextIndex > mState.mLog.baseIndex();
    }

    private void sendTo(MemberId member, long nowMilliseconds, boolean allowEmpty) {
        MemberProgress progress = mProgress.get(member);
        progress.mNextIndex = Math.min(progress.mNextIndex, mState.mLog.lastIndex() + 1);
        if (canSendEntries(progress)) {
            sendEntries(member, progress, allowEmpty);
            return;
        }
        sendChunk(member, progress, nowMilliseconds);
        if (allowEmpty) {
            sendAppend(member, mState.mLog.baseIndex(), List.of());
        }
    }

    private void sendEntries(MemberId member, MemberProgress progress, boolean allowEmpty) {
        if (progress.mProbing && !allowEmpty) {
            return;
        }
        boolean first = true;
        int maxMessages = progress.mProbing ? 1 : MAX_MESSAGES_PER_SEND;
        for (int sent = 0; sent < maxMessages; sent++) {
            List<LogEntry> entries = nextBatch(progress);
            if (entries.isEmpty() && !(first && allowEmpty)) {
                return;
            }
            sendAppend(member, progress.mNextIndex - 1, entries);
            if (!progress.mProbing) {
                progress.mNextIndex += entries.size();
            }
            first = false;
        }
    }

    private List<LogEntry> nextBatch(MemberProgress progress) {
        return mState.mLog.batchAfter(
                progress.mNextIndex - 1, mState.mPersistedIndex, mState.mOptions.maxMessageBytes());
    }

    private void sendAppend(MemberId member, long previousIndex, List<LogEntry> entries) {
        mState.mOutbox.send(
                member,
                new AppendRequest(
                        mState.mTerm,
                        mRound,
                        previousIndex,
                        mState.mLog.termAt(previousIndex).orElseThrow(),
                        mState.mCommitIndex,
                        new ArrayList<>(entries)));
    }

    private void sendChunk(MemberId member, MemberProgress progress, long nowMilliseconds) {
        long resendMilliseconds =
                HEARTBEATS_BEFORE_RESEND * mState.mOptions.heartbeatMilliseconds();
        Snapshot snapshot = mState.mSnapshot.orElseThrow();
        if (progress.mSnapshotIndex != snapshot.index()) {
            progress.mSnapshotIndex = snapshot.index();
            progress.mSnapshotOffsetBytes = 0;
        } else if (nowMilliseconds - progress.mChunkSentAtMilliseconds < resendMilliseconds) {
            return;
        }
        progress.mChunkSentAtMilliseconds = nowMilliseconds;
        byte[] data =
                snapshot.chunk(progress.mSnapshotOffsetBytes, mState.mOptions.maxMessageBytes());
        int endBytes = progress.mSnapshotOffsetBytes + data.length;
        mState.mOutbox.send(
                member,
                new SnapshotChunk(
                        mState.mTerm,
                        mRound,
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.membership(),
                        progress.mSnapshotOffsetBytes,
                        data,
                        endBytes >= snapshot.lengthBytes()));
    }
}
