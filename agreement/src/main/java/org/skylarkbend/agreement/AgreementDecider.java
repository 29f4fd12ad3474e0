package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import org.skylarkbend.agreement.AgreementInput.Confirm;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementMessage.Announcement;
import org.skylarkbend.agreement.AgreementMessage.AppendAnswer;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteAnswer;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.SnapshotAnswer;
import org.skylarkbend.agreement.AgreementMessage.SnapshotPiece;
import org.skylarkbend.agreement.AgreementMessage.VoteAnswer;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.EntryContent.MembershipChange;
import org.skylarkbend.agreement.EntryContent.NoOperation;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;

/**
 * The decisions of one member of the replicated log.
 *
 * <p>It is given inputs with the time of a clock that never steps back, and answers with effects.
 * It never answers, votes or counts its own copy before the disk has it.
 */
public final class AgreementDecider {
    private final MemberState mState;
    private final Elections mElections;
    private final Following mFollowing;
    private final Replication mReplication;
    private final Confirmations mConfirmations;
    private final MembershipChanges mMembershipChanges;
    private final Founding mFounding;
    private final TreeMap<Long, Long> mProposalsByIndex = new TreeMap<>();
    private long mNowMilliseconds;
    private long mAppliedIndex;
    private long mAppliedBytes;
    private long mSnapshotIndex;
    private Optional<PendingSnapshot> mPendingSnapshot = Optional.empty();

    /** A snapshot of this member's own state that is being written. */
    private record PendingSnapshot(long number, Snapshot snapshot) {}

    /**
     * A member that starts from what its disk holds.
     *
     * @param durable what the disk holds
     * @param options times and sizes
     * @param rules who may found, join and stay
     * @param randomBelow a random number from 0 to below its argument
     * @param nowMilliseconds the time
     */
    public AgreementDecider(
            DurableState durable,
            AgreementOptions options,
            MemberRules rules,
            LongUnaryOperator randomBelow,
            long nowMilliseconds) {
        mState = new MemberState(durable, options, randomBelow, nowMilliseconds);
        mNowMilliseconds = nowMilliseconds;
        mElections = new Elections(mState, this::becomeLeader);
        mFollowing = new Following(mState, this::applyCommitted);
        mReplication = new Replication(mState);
        mConfirmations = new Confirmations(mState, mReplication);
        mMembershipChanges = new MembershipChanges(mState, mReplication, rules);
        mFounding = new Founding(mState, rules.founders());
        mAppliedIndex = mState.mCommitIndex;
        mSnapshotIndex = mState.mCommitIndex;
        durable.snapshot()
                .ifPresent(snapshot -> mState.mOutbox.add(new AgreementEffect.Restore(snapshot)));
    }

    /** Decides upon one input. */
    public List<AgreementEffect> decide(AgreementInput input, long nowMilliseconds) {
        mNowMilliseconds = Math.max(mNowMilliseconds, nowMilliseconds);
        if (input instanceof Received received) {
            receive(received.from(), received.message());
        } else if (input instanceof Propose propose) {
            propose(propose);
        } else if (input instanceof Confirm confirm) {
            mConfirmations.ask(confirm.confirmation(), mNowMilliseconds);
        } else if (input instanceof Persisted persisted) {
            persisted(persisted.number());
        } else if (input instanceof PersistFailed failed) {
            persistFailed(failed);
        } else if (input instanceof SnapshotTaken taken) {
            saveSnapshot(taken);
        } else {
            tick();
        }
        if (mState.isLeader()) {
            mConfirmations.startRoundIfNeeded(mNowMilliseconds);
            mConfirmations.answerReaders();
        }
        return mState.takeEffects();
    }

    /** What this member does now. */
    public MemberRole role() {
        return mState.mRole;
    }

    /** The newest term that this member knows. */
    public long term() {
        return mState.mTerm;
    }

    /** Who leads, as far as this member knows. */
    public Optional<MemberId> leader() {
        return mState.mLeader;
    }

    /** The newest membership that this member knows, committed or not. */
    public Membership membership() {
        return mState.mLog.membership();
    }

    /** Up to where this member has applied the log. */
    public long appliedIndex() {
        return mAppliedIndex;
    }

    private void tick() {
        mState.retryHardState();
        if (mState.isLeader()) {
            leadOn();
            return;
        }
        mFounding.announceIfDue(mNowMilliseconds);
        mFounding.firstMembership(mNowMilliseconds).ifPresent(this::found);
        if (!mFollowing.isInstalling()) {
            mElections.tick(mNowMilliseconds);
        }
    }

    private void leadOn() {
        if (!mReplication.hasQuorum(mNowMilliseconds)) {
            stepDown(mState.mTerm);
            return;
        }
        if (mReplication.isRoundDue(mNowMilliseconds)) {
            mReplication.startRound(mNowMilliseconds);
        }
        mMembershipChanges.next(mNowMilliseconds).ifPresent(this::changeMembership);
    }

    private void found(Membership membership) {
        mState.adoptTerm(1, Optional.empty());
        mState.append(new LogEntry(1, 1, new MembershipChange(membership)));
    }

    private void changeMembership(MembershipChange change) {
        mState.append(new LogEntry(mState.mLog.lastIndex() + 1, mState.mTerm, change));
        for (MemberId voter : change.membership().voters()) {
            mReplication.watch(voter, mNowMilliseconds);
        }
    }

    private void becomeLeader() {
        mState.mRole = MemberRole.LEADER;
        mState.mLeader = Optional.of(mState.mSelf);
        mReplication.begin(mNowMilliseconds);
        mMembershipChanges.begin();
        mState.append(new LogEntry(mState.mLog.lastIndex() + 1, mState.mTerm, new NoOperation()));
        mReplication.startRound(mNowMilliseconds);
    }

    private void stepDown(long term) {
        if (term > mState.mTerm) {
            mState.adoptTerm(term, Optional.empty());
        }
        boolean led = mState.isLeader();
        mState.mRole = MemberRole.FOLLOWER;
        mState.mLeader = Optional.empty();
        if (led) {
            mState.waitForElection(mNowMilliseconds);
            mConfirmations.failAll();
            failProposalsFrom(
                    0, ErrorKind.COMMIT_UNKNOWN, "the leader changed before the change was known");
        }
    }

    private void receive(MemberId from, AgreementMessage message) {
        if (message instanceof PreVoteRequest request) {
            mElections.receive(from, request, mNowMilliseconds);
        } else if (message instanceof PreVoteAnswer answer) {
            mElections.receive(from, answer);
        } else if (message instanceof VoteRequest request) {
            mElections.receive(from, request, mNowMilliseconds);
        } else if (message instanceof Announcement announcement) {
            announced(from, announcement);
        } else if (message.term() > mState.mTerm) {
            stepDown(message.term());
            receiveInTerm(from, message);
        } else if (message.term() == mState.mTerm) {
            receiveInTerm(from, message);
        } else if (message instanceof AppendRequest request) {
            mState.mOutbox.send(from, AppendAnswer.ofNewerTerm(mState.mTerm));
        }
    }

    private void receiveInTerm(MemberId from, AgreementMessage message) {
        if (message instanceof VoteAnswer answer) {
            mElections.receive(from, answer);
        } else if (message instanceof AppendRequest request) {
            heardLeader(from);
            mFollowing.receive(from, request);
        } else if (message instanceof SnapshotPiece piece) {
            heardLeader(from);
            mFollowing.receive(from, piece);
        } else if (mState.isLeader()) {
            receiveAnswer(from, message);
        }
    }

    private void receiveAnswer(MemberId from, AgreementMessage message) {
        if (message instanceof AppendAnswer answer) {
            mReplication.receive(from, answer, mNowMilliseconds);
        } else if (message instanceof SnapshotAnswer answer) {
            mReplication.receive(from, answer, mNowMilliseconds);
        }
        advanceCommit();
    }

    private void announced(MemberId from, Announcement announcement) {
        mFounding.announced(from, announcement, mNowMilliseconds);
        if (mState.isLeader()) {
            mMembershipChanges.announced(from, mNowMilliseconds);
        }
    }

    private void heardLeader(MemberId leader) {
        mState.mRole = MemberRole.FOLLOWER;
        mState.mLeader = Optional.of(leader);
        mState.mLastContactMilliseconds = mNowMilliseconds;
        mState.waitForElection(mNowMilliseconds);
    }

    private void propose(Propose propose) {
        if (!mState.isLeader()) {
            fail(propose.proposal(), ErrorKind.NO_LEADER, "this control VM does not lead");
            return;
        }
        long index = mState.mLog.lastIndex() + 1;
        mState.append(new LogEntry(index, mState.mTerm, propose.command()));
        mProposalsByIndex.put(index, propose.proposal());
    }

    private void persisted(long number) {
        mState.persisted(number);
        mPendingSnapshot
                .filter(pending -> pending.number() <= number)
                .ifPresent(this::forgetBefore);
        boolean wasInstalling = mFollowing.isInstalling();
        mFollowing.persisted(number);
        if (wasInstalling && !mFollowing.isInstalling()) {
            mAppliedIndex = mState.mCommitIndex;
            mSnapshotIndex = mState.mCommitIndex;
            mAppliedBytes = 0;
        }
        if (mState.mRole == MemberRole.CANDIDATE && mState.isHardStateDurable()) {
            mElections.ownVotePersisted();
        }
        if (mState.isLeader()) {
            advanceCommit();
            mReplication.sendNewEntries(mNowMilliseconds);
        }
    }

    private void persistFailed(PersistFailed failed) {
        mState.persistFailed();
        mFollowing.persistFailed();
        mPendingSnapshot = Optional.empty();
        if (!mState.isLeader()) {
            mState.mRole = MemberRole.FOLLOWER;
        }
        failProposalsFrom(mState.mLog.lastIndex() + 1, ErrorKind.STORAGE_FAILED, failed.detail());
    }

    private void advanceCommit() {
        if (!mState.isLeader() || mState.mLog.membership().voters().isEmpty()) {
            return;
        }
        long index = mReplication.indexOfQuorum();
        if (index > mState.mCommitIndex && mState.mLog.holds(index, mState.mTerm)) {
            mState.mCommitIndex = index;
            applyCommitted();
            leaveIfRemoved();
        }
    }

    private void leaveIfRemoved() {
        boolean removed = !mState.isVoter() && mState.mLog.membershipIndex() <= mState.mCommitIndex;
        if (removed) {
            stepDown(mState.mTerm);
        }
    }

    private void applyCommitted() {
        for (LogEntry entry : mState.mLog.between(mAppliedIndex, mState.mCommitIndex)) {
            Long proposal = mProposalsByIndex.remove(entry.index());
            mState.mOutbox.add(
                    new AgreementEffect.Apply(
                            entry,
                            proposal == null ? OptionalLong.empty() : OptionalLong.of(proposal)));
            mAppliedBytes += entry.sizeBytes();
        }
        mAppliedIndex = Math.max(mAppliedIndex, mState.mCommitIndex);
        takeSnapshotIfDue();
    }

    private void takeSnapshotIfDue() {
        boolean isDue =
                mAppliedIndex - mSnapshotIndex >= mState.mOptions.snapshotAfterEntries()
                        || mAppliedBytes >= mState.mOptions.snapshotAfterBytes();
        if (isDue && mPendingSnapshot.isEmpty()) {
            mSnapshotIndex = mAppliedIndex;
            mAppliedBytes = 0;
            mState.mOutbox.add(new AgreementEffect.TakeSnapshot(mAppliedIndex));
        }
    }

    private void saveSnapshot(SnapshotTaken taken) {
        if (taken.index() <= mState.mLog.baseIndex() || mFollowing.isInstalling()) {
            return;
        }
        long term = mState.mLog.termAt(taken.index()).orElseThrow();
        Membership membership = mState.mLog.membershipAt(taken.index());
        Snapshot snapshot = new Snapshot(taken.index(), term, membership, taken.data());
        mState.flushUnsaved();
        long number = mState.nextNumber(mState.mLog.lastIndex());
        mPendingSnapshot = Optional.of(new PendingSnapshot(number, snapshot));
        List<LogEntry> remaining =
                mState.mLog.between(firstForgotten(snapshot), mState.mLog.lastIndex());
        mState.mOutbox.add(
                new AgreementEffect.SaveSnapshot(number, mState.hardState(), snapshot, remaining));
    }

    private void forgetBefore(PendingSnapshot pending) {
        mPendingSnapshot = Optional.empty();
        mState.mSnapshot = Optional.of(pending.snapshot());
        mState.mLog.forgetUpTo(firstForgotten(pending.snapshot()));
    }

    private long firstForgotten(Snapshot snapshot) {
        return Math.max(
                mState.mLog.baseIndex(), snapshot.index() - mState.mOptions.retainedEntries());
    }

    private void failProposalsFrom(long index, ErrorKind kind, String detail) {
        mProposalsByIndex.tailMap(index).values().forEach(proposal -> fail(proposal, kind, detail));
        mProposalsByIndex.tailMap(index).clear();
    }

    private void fail(long proposal, ErrorKind kind, String detail) {
        mState.mOutbox.add(
                new AgreementEffect.FailProposal(proposal, new SkylarkError(kind, detail)));
    }
}
