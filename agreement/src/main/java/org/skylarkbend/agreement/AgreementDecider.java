package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import org.skylarkbend.agreement.AgreementInput.ConfirmLeadership;
import org.skylarkbend.agreement.AgreementInput.DiskChecked;
import org.skylarkbend.agreement.AgreementInput.Leave;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementMessage.Announcement;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckRequest;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckResponse;
import org.skylarkbend.agreement.AgreementMessage.LeaveRequest;
import org.skylarkbend.agreement.AgreementMessage.LeaveResponse;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.SnapshotChunk;
import org.skylarkbend.agreement.AgreementMessage.SnapshotResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;
import org.skylarkbend.agreement.EntryContent.MembershipChange;
import org.skylarkbend.agreement.EntryContent.NoOperation;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;

/**
 * The Raft state machine of one member, free of input and output.
 *
 * <p>Each input comes with the time of a monotonic clock and yields a list of effects for the
 * caller to execute. A member sends no response, casts no vote and does not count its own copy of
 * an entry until the state behind it is synced to disk.
 */
public final class AgreementDecider {
    /** The time after a snapshot that could not be saved, until another one is taken. */
    private static final long SNAPSHOT_RETRY_MILLISECONDS = 1_000;

    private final MemberState mState;
    private final Elections mElections;
    private final FollowerReplication mFollowerReplication;
    private final LeaderReplication mLeaderReplication;
    private final LeadershipConfirmations mConfirmations;
    private final DiskHandOver mDiskHandOver;
    private final MembershipChanges mMembershipChanges;
    private final Departure mDeparture;
    private final LossMarginWatch mLossMargin;
    private final ClusterBootstrap mBootstrap;
    private final TreeMap<Long, Long> mProposalsByIndex = new TreeMap<>();
    private long mNowMilliseconds;
    private long mAppliedIndex;
    private long mAppliedBytes;
    private long mSnapshotIndex;
    private long mSnapshotNotBeforeMilliseconds = Long.MIN_VALUE;
    private Optional<PendingSnapshot> mPendingSnapshot = Optional.empty();

    /** A snapshot of this member's state machine that is being written to disk. */
    private record PendingSnapshot(long number, Snapshot snapshot) {}

    /**
     * Creates a member from its durable state.
     *
     * @param durable the state recovered from disk
     * @param options timeouts and sizes
     * @param rules the rules for bootstrapping the log, joining it and removing members
     * @param randomBelow returns a random number from 0 (inclusive) to its argument (exclusive)
     * @param startedMilliseconds the time at which the process started; an earlier run of it may
     *     have heard from a leader until then
     * @param nowMilliseconds the current time of the monotonic clock
     */
    public AgreementDecider(
            DurableState durable,
            AgreementOptions options,
            MembershipRules rules,
            LongUnaryOperator randomBelow,
            long startedMilliseconds,
            long nowMilliseconds) {
        mState =
                new MemberState(
                        durable, options, randomBelow, startedMilliseconds, nowMilliseconds);
        mNowMilliseconds = nowMilliseconds;
        mElections = new Elections(mState, this::becomeLeader);
        mFollowerReplication = new FollowerReplication(mState, this::applyCommitted);
        mLeaderReplication = new LeaderReplication(mState);
        mConfirmations = new LeadershipConfirmations(mState, mLeaderReplication);
        mDiskHandOver = new DiskHandOver(mState);
        mMembershipChanges = new MembershipChanges(mState, mLeaderReplication, rules);
        mDeparture = new Departure(mState, mMembershipChanges);
        mLossMargin = new LossMarginWatch(mState, mLeaderReplication, rules);
        mBootstrap = new ClusterBootstrap(mState, rules.initialVms());
        mAppliedIndex = mState.mCommitIndex;
        mSnapshotIndex = mState.mCommitIndex;
        durable.snapshot()
                .ifPresent(snapshot -> mState.mOutbox.add(new AgreementEffect.Restore(snapshot)));
    }

    /** Processes one input and returns its effects, to be executed in order. */
    public List<AgreementEffect> decide(AgreementInput input, long nowMilliseconds) {
        mNowMilliseconds = Math.max(mNowMilliseconds, nowMilliseconds);
        if (input instanceof Received received) {
            receive(received.from(), received.message());
        } else if (input instanceof Propose propose) {
            propose(propose);
        } else if (input instanceof ConfirmLeadership confirm) {
            mConfirmations.submit(confirm.confirmationId(), mNowMilliseconds);
        } else if (input instanceof Persisted persisted) {
            persisted(persisted.number());
        } else if (input instanceof PersistFailed failed) {
            persistFailed(failed);
        } else if (input instanceof DiskChecked checked) {
            diskChecked(checked);
        } else if (input instanceof SnapshotTaken taken) {
            saveSnapshot(taken);
        } else if (input instanceof Leave) {
            mDeparture.begin();
            tick();
        } else {
            tick();
        }
        if (mState.isLeader()) {
            mConfirmations.startRoundIfNeeded(mNowMilliseconds);
            mConfirmations.confirmPending();
        }
        return mState.drainEffects();
    }

    /** Returns the current role of this member. */
    public MemberRole role() {
        return mState.mRole;
    }

    /**
     * Returns the time before the last election that this member won during which no other member
     * can have led.
     */
    public long leaderlessMilliseconds() {
        return mElections.leaderlessMilliseconds();
    }

    /** Returns the newest term that this member knows. */
    public long term() {
        return mState.mTerm;
    }

    /** Returns the leader of the current term, if this member knows it. */
    public Optional<MemberId> leader() {
        return mState.mLeader;
    }

    /** Returns the newest membership in this member's log, committed or not. */
    public Membership membership() {
        return mState.mLog.membership();
    }

    /** Returns the index of the last applied entry. */
    public long appliedIndex() {
        return mAppliedIndex;
    }

    private void tick() {
        mState.retryHardState();
        takeSnapshotIfDue();
        mDeparture.tick(mNowMilliseconds);
        if (mState.isLeader()) {
            tickAsLeader();
            return;
        }
        mBootstrap.announceIfDue(mNowMilliseconds);
        mBootstrap.initialMembership(mNowMilliseconds).ifPresent(this::appendInitialMembership);
        if (!mFollowerReplication.isInstalling()) {
            mElections.tick(mNowMilliseconds);
        }
    }

    private void tickAsLeader() {
        if (!mLeaderReplication.hasQuorum(mNowMilliseconds)) {
            stepDown(mState.mTerm);
            return;
        }
        mConfirmations.failOld(mNowMilliseconds);
        if (mLeaderReplication.isRoundDue(mNowMilliseconds)) {
            appendFirstEntryOfTerm();
            mLeaderReplication.startRound(mNowMilliseconds);
        }
        if (mDiskHandOver.tick(mNowMilliseconds)) {
            makeWay();
            return;
        }
        mLossMargin.tick(mNowMilliseconds);
        mMembershipChanges.nextChange(mNowMilliseconds).ifPresent(this::changeMembership);
    }

    private void appendInitialMembership(Membership membership) {
        long term = mBootstrap.initialTerm();
        mState.setTermAndVote(term, Optional.empty());
        mState.append(new LogEntry(1, term, new MembershipChange(membership)));
    }

    private void changeMembership(MemberChange change) {
        mState.append(
                new LogEntry(
                        mState.mLog.lastIndex() + 1,
                        mState.mTerm,
                        new MembershipChange(change.next())));
        for (MemberId voter : change.next().voters()) {
            mLeaderReplication.track(voter, mNowMilliseconds);
        }
        mState.mOutbox.add(mMembershipChanges.report(change));
    }

    private void becomeLeader() {
        mState.mRole = MemberRole.LEADER;
        mState.mLeader = Optional.of(mState.mSelf);
        mState.leaderSeen();
        mLeaderReplication.startTerm(mNowMilliseconds);
        mMembershipChanges.startTerm();
        mLossMargin.startTerm(mNowMilliseconds);
        mDiskHandOver.startTerm();
        appendFirstEntryOfTerm();
        mLeaderReplication.startRound(mNowMilliseconds);
    }

    /**
     * Appends an entry unless there is one of this term; an earlier one may not have been saved.
     */
    private void appendFirstEntryOfTerm() {
        if (mState.mLog.lastTerm() < mState.mTerm) {
            long index = mState.mLog.lastIndex() + 1;
            mState.append(new LogEntry(index, mState.mTerm, new NoOperation()));
        }
    }

    private void stepDown(long term) {
        if (term > mState.mTerm) {
            mState.setTermAndVote(term, Optional.empty());
        }
        boolean wasLeader = mState.isLeader();
        mState.mRole = MemberRole.FOLLOWER;
        mState.mLeader = Optional.empty();
        if (wasLeader) {
            mState.resetElectionTimeout(mNowMilliseconds);
            mConfirmations.failAll();
            failProposalsFrom(
                    0,
                    ErrorKind.COMMIT_UNKNOWN,
                    "leadership changed before the entry was known to be committed");
        }
    }

    private void receive(MemberId from, AgreementMessage message) {
        if (!(message instanceof Announcement) && mBootstrap.isSuperseded(from)) {
            return;
        }
        if (message instanceof PreVoteRequest request) {
            mElections.receive(from, request, mNowMilliseconds);
        } else if (message instanceof PreVoteResponse response) {
            mElections.receive(from, response, mNowMilliseconds);
        } else if (message instanceof VoteRequest request) {
            mElections.receive(from, request, mNowMilliseconds);
        } else if (message instanceof Announcement announcement) {
            receiveAnnouncement(from, announcement);
        } else if (message instanceof LeaveResponse response) {
            mDeparture.receive(response);
        } else if (message instanceof LeaveRequest) {
            receiveLeave(from);
        } else if (message.term() > mState.mTerm) {
            stepDown(message.term());
            receiveInTerm(from, message);
        } else if (message.term() == mState.mTerm) {
            receiveInTerm(from, message);
        } else if (message instanceof AppendRequest request) {
            mState.mOutbox.send(from, AppendResponse.rejectingStaleTerm(mState.mTerm));
        }
    }

    private void receiveInTerm(MemberId from, AgreementMessage message) {
        if (message instanceof VoteResponse response) {
            mElections.receive(from, response);
        } else if (message instanceof AppendRequest request) {
            recordLeaderContact(from);
            mFollowerReplication.receive(from, request);
        } else if (message instanceof SnapshotChunk chunk) {
            recordLeaderContact(from);
            mFollowerReplication.receive(from, chunk);
        } else if (message instanceof DiskCheckRequest request) {
            mDiskHandOver.receive(from, request, mNowMilliseconds);
        } else if (mState.isLeader()) {
            receiveResponse(from, message);
        }
    }

    private void receiveResponse(MemberId from, AgreementMessage message) {
        if (message instanceof AppendResponse response) {
            mLeaderReplication.receive(from, response, mNowMilliseconds);
        } else if (message instanceof SnapshotResponse response) {
            mLeaderReplication.receive(from, response, mNowMilliseconds);
        } else if (message instanceof DiskCheckResponse response) {
            mDiskHandOver.receive(from, response, mNowMilliseconds);
        }
        advanceCommit();
    }

    private void receiveAnnouncement(MemberId from, Announcement announcement) {
        mBootstrap.receiveAnnouncement(from, announcement, mNowMilliseconds);
        if (mState.isLeader()) {
            mMembershipChanges.receiveAnnouncement(from, mNowMilliseconds);
        }
    }

    private void receiveLeave(MemberId from) {
        if (mState.isLeader()) {
            mDeparture.receive(from, mNowMilliseconds);
        }
    }

    private void recordLeaderContact(MemberId leader) {
        mState.mRole = MemberRole.FOLLOWER;
        mState.mLeader = Optional.of(leader);
        mState.leaderSeen();
        mState.mLastContactMilliseconds = mNowMilliseconds;
        mState.resetElectionTimeout(mNowMilliseconds);
    }

    private void propose(Propose propose) {
        if (!mState.isLeader()) {
            fail(propose.proposalId(), ErrorKind.NO_LEADER, "this control VM is not the leader");
            return;
        }
        if (mState.mLog.sizeBytes() >= mState.mOptions.maxLogBytes()) {
            fail(
                    propose.proposalId(),
                    ErrorKind.OVERLOADED,
                    "the log has " + mState.mLog.sizeBytes() + " bytes in memory");
            return;
        }
        long index = mState.mLog.lastIndex() + 1;
        mState.append(new LogEntry(index, mState.mTerm, propose.command()));
        mProposalsByIndex.put(index, propose.proposalId());
    }

    private void persisted(long number) {
        mState.persisted(number);
        mDiskHandOver.persisted();
        mPendingSnapshot.filter(pending -> pending.number() <= number).ifPresent(this::compactLog);
        boolean wasInstalling = mFollowerReplication.isInstalling();
        mFollowerReplication.persisted(number);
        if (wasInstalling && !mFollowerReplication.isInstalling()) {
            mAppliedIndex = mState.mCommitIndex;
            mSnapshotIndex = mState.mCommitIndex;
            mAppliedBytes = 0;
        }
        if (mState.mRole == MemberRole.CANDIDATE && mState.isHardStateDurable()) {
            mElections.ownVotePersisted();
        }
        if (mState.isLeader()) {
            advanceCommit();
            mLeaderReplication.sendNewEntries(mNowMilliseconds);
        }
    }

    private void persistFailed(PersistFailed failed) {
        long failedBytes =
                mState.unsavedBytes()
                        + mPendingSnapshot
                                .map(pending -> (long) pending.snapshot().lengthBytes())
                                .orElse(0L);
        mState.persistFailed();
        mFollowerReplication.persistFailed();
        if (mPendingSnapshot.isPresent()) {
            mPendingSnapshot = Optional.empty();
            mSnapshotIndex = mState.mLog.baseIndex();
            mAppliedBytes = mState.mOptions.snapshotAfterBytes();
            mSnapshotNotBeforeMilliseconds = mNowMilliseconds + SNAPSHOT_RETRY_MILLISECONDS;
        }
        if (mState.isLeader()) {
            mDiskHandOver.persistFailed(failedBytes, mNowMilliseconds);
        } else {
            mState.mRole = MemberRole.FOLLOWER;
        }
        failProposalsFrom(
                mState.mLog.lastIndex() + 1, failed.error().kind(), failed.error().detail());
    }

    private void diskChecked(DiskChecked checked) {
        if (mDiskHandOver.checked(checked.canWrite(), mNowMilliseconds)) {
            makeWay();
        }
    }

    private void makeWay() {
        stepDown(mState.mTerm);
        mState.letOthersStandFirst();
    }

    private void advanceCommit() {
        if (!mState.isLeader() || mState.mLog.membership().voters().isEmpty()) {
            return;
        }
        long index = mLeaderReplication.quorumIndex();
        if (index > mState.mCommitIndex && mState.mLog.containsEntry(index, mState.mTerm)) {
            mState.mCommitIndex = index;
            applyCommitted();
            stepDownIfRemoved();
        }
    }

    private void stepDownIfRemoved() {
        boolean removed = !mState.isVoter() && mState.mLog.membershipIndex() <= mState.mCommitIndex;
        if (removed) {
            stepDown(mState.mTerm);
        }
    }

    private void applyCommitted() {
        for (LogEntry entry : mState.mLog.between(mAppliedIndex, mState.mCommitIndex)) {
            Long proposalId = mProposalsByIndex.remove(entry.index());
            mState.mOutbox.add(
                    new AgreementEffect.Apply(
                            entry,
                            proposalId == null
                                    ? OptionalLong.empty()
                                    : OptionalLong.of(proposalId)));
            mAppliedBytes += entry.sizeBytes();
        }
        mAppliedIndex = Math.max(mAppliedIndex, mState.mCommitIndex);
        takeSnapshotIfDue();
    }

    private void takeSnapshotIfDue() {
        boolean isDue =
                mAppliedIndex - mSnapshotIndex >= mState.mOptions.snapshotAfterEntries()
                        || mAppliedBytes >= mState.mOptions.snapshotAfterBytes();
        boolean isAllowed = mNowMilliseconds >= mSnapshotNotBeforeMilliseconds;
        if (isDue && isAllowed && mPendingSnapshot.isEmpty()) {
            mSnapshotIndex = mAppliedIndex;
            mAppliedBytes = 0;
            mState.mOutbox.add(new AgreementEffect.TakeSnapshot(mAppliedIndex));
        }
    }

    private void saveSnapshot(SnapshotTaken taken) {
        if (taken.index() <= mState.mLog.baseIndex() || mFollowerReplication.isInstalling()) {
            return;
        }
        long term = mState.mLog.termAt(taken.index()).orElseThrow();
        Membership membership = mState.mLog.membershipAt(taken.index());
        Snapshot snapshot = new Snapshot(taken.index(), term, membership, taken.data());
        mState.flushUnsaved();
        long number = mState.nextPersistNumber(mState.mLog.lastIndex());
        mPendingSnapshot = Optional.of(new PendingSnapshot(number, snapshot));
        List<LogEntry> remaining =
                mState.mLog.between(compactionIndex(snapshot), mState.mLog.lastIndex());
        mState.mOutbox.add(
                new AgreementEffect.SaveSnapshot(number, mState.hardState(), snapshot, remaining));
    }

    private void compactLog(PendingSnapshot pending) {
        mPendingSnapshot = Optional.empty();
        mState.mSnapshot = Optional.of(pending.snapshot());
        mState.mLog.compactUpTo(compactionIndex(pending.snapshot()));
    }

    private long compactionIndex(Snapshot snapshot) {
        return mState.mLog.indexBeforeNewest(
                snapshot.index(),
                mState.mOptions.retainedEntries(),
                mState.mOptions.retainedBytes());
    }

    private void failProposalsFrom(long index, ErrorKind kind, String detail) {
        mProposalsByIndex
                .tailMap(index)
                .values()
                .forEach(proposalId -> fail(proposalId, kind, detail));
        mProposalsByIndex.tailMap(index).clear();
    }

    private void fail(long proposalId, ErrorKind kind, String detail) {
        mState.mOutbox.add(
                new AgreementEffect.FailProposal(proposalId, new SkylarkError(kind, detail)));
    }
}
