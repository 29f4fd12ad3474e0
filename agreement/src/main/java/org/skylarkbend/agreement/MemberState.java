package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongUnaryOperator;

/** The Raft state of a member, shared by the parts of one {@link AgreementDecider}. */
final class MemberState {
    final MemberId mSelf;
    final boolean mIsOfFirstStart;
    final AgreementOptions mOptions;
    final ReplicatedLog mLog;
    final Outbox mOutbox = new Outbox();
    private final LongUnaryOperator mRandomBelow;
    private final Deque<PendingPersist> mPending = new ArrayDeque<>();

    long mTerm;
    Optional<MemberId> mVote;
    MemberRole mRole = MemberRole.FOLLOWER;
    Optional<MemberId> mLeader = Optional.empty();
    Optional<Snapshot> mSnapshot;
    long mCommitIndex;
    long mPersistedIndex;
    long mLastContactMilliseconds;
    long mElectionDeadlineMilliseconds;
    boolean mIsLeaving;

    private boolean mLeaderSeen;
    private long mLastNumber;
    private long mSyncedNumber;
    private long mHardStateNumber;
    private boolean mHardStateFailed;
    private long mFirstUnsavedIndex;
    private boolean mHardStateUnsaved;
    private Optional<SavedHardState> mBeforeCandidacy = Optional.empty();
    private MemberRole mReportedRole = MemberRole.FOLLOWER;
    private long mReportedTerm;
    private Optional<MemberId> mReportedLeader = Optional.empty();
    private Membership mReportedMembership = Membership.none();

    /** Pre-votes before the first leader start after the minimum election timeout over this. */
    private static final long FIRST_PRE_VOTE_DIVISOR = 5;

    /** A hard state that is on disk, and the number of the write that put it there. */
    private record SavedHardState(HardState hardState, long number) {}

    /** A persist that is not yet synced, and the last index that it makes durable. */
    private record PendingPersist(long number, long lastIndex) {}

    MemberState(
            DurableState durable,
            AgreementOptions options,
            LongUnaryOperator randomBelow,
            long startedMilliseconds,
            long nowMilliseconds) {
        mSelf = durable.self();
        mIsOfFirstStart = durable.isOfFirstStart();
        mOptions = options;
        mRandomBelow = randomBelow;
        mLog = ReplicatedLog.recovered(durable);
        mTerm = durable.hardState().term();
        mVote = durable.hardState().vote();
        mSnapshot = durable.snapshot();
        mCommitIndex = mLog.baseIndex();
        mPersistedIndex = mLog.lastIndex();
        mFirstUnsavedIndex = mLog.lastIndex() + 1;
        mReportedTerm = mTerm;
        mLastContactMilliseconds = startedMilliseconds;
        if (heardFromLeaderRecently(nowMilliseconds)) {
            resetElectionTimeout(nowMilliseconds);
        } else {
            resetPreVoteTimeout(nowMilliseconds);
        }
    }

    boolean isLeader() {
        return mRole == MemberRole.LEADER;
    }

    /**
     * Returns whether the log is empty. The member may have voted for a member that has lost its
     * disk since.
     */
    boolean isUninitialized() {
        return mLog.lastIndex() == 0;
    }

    boolean isVoter() {
        return mLog.membership().contains(mSelf);
    }

    /** Records that a leader has contacted this member, or that it leads itself. */
    void leaderSeen() {
        mLeaderSeen = true;
    }

    /**
     * Starts a timeout until the next pre-vote. It is short until the first leader since the start
     * is known: a pre-vote disturbs no leader, and after a restart of all members the next pre-vote
     * may succeed as soon as enough of them are back.
     */
    void resetPreVoteTimeout(long nowMilliseconds) {
        if (mLeaderSeen) {
            resetElectionTimeout(nowMilliseconds);
            return;
        }
        long minMilliseconds = mOptions.electionMinMilliseconds() / FIRST_PRE_VOTE_DIVISOR;
        mElectionDeadlineMilliseconds =
                nowMilliseconds + minMilliseconds + mRandomBelow.applyAsLong(2 * minMilliseconds);
        letOthersStandFirstIfLeaving();
    }

    /** Starts a new election timeout with a random duration. */
    void resetElectionTimeout(long nowMilliseconds) {
        long rangeMilliseconds =
                mOptions.electionMaxMilliseconds() - mOptions.electionMinMilliseconds();
        mElectionDeadlineMilliseconds =
                nowMilliseconds
                        + mOptions.electionMinMilliseconds()
                        + mRandomBelow.applyAsLong(rangeMilliseconds);
        letOthersStandFirstIfLeaving();
    }

    /** Begins to leave. The member stands last from now on, since it would not lead for long. */
    void beginToLeave() {
        if (!mIsLeaving) {
            mIsLeaving = true;
            letOthersStandFirst();
        }
        if (mRole == MemberRole.PRE_CANDIDATE) {
            mRole = MemberRole.FOLLOWER;
        }
    }

    private void letOthersStandFirstIfLeaving() {
        if (mIsLeaving) {
            letOthersStandFirst();
        }
    }

    /** Extends the election timeout, so that a member that cannot lead stands last. */
    void letOthersStandFirst() {
        mElectionDeadlineMilliseconds += mOptions.electionMaxMilliseconds();
    }

    /** Returns the time for which this member has heard from no leader. */
    long leaderlessMilliseconds(long nowMilliseconds) {
        return Math.max(0, nowMilliseconds - mLastContactMilliseconds);
    }

    /** Returns whether a leader may still rely on this member not to vote for another. */
    boolean heardFromLeaderRecently(long nowMilliseconds) {
        return leaderlessMilliseconds(nowMilliseconds) < mOptions.electionMinMilliseconds();
    }

    void setTermAndVote(long term, Optional<MemberId> vote) {
        mTerm = term;
        mVote = vote;
        mHardStateUnsaved = true;
    }

    /** Starts the next term with a vote for this member. */
    void startCandidacy() {
        mRole = MemberRole.CANDIDATE;
        mBeforeCandidacy =
                isHardStateDurable()
                        ? Optional.of(new SavedHardState(hardState(), mHardStateNumber))
                        : Optional.empty();
        setTermAndVote(mTerm + 1, Optional.of(mSelf));
    }

    void append(LogEntry entry) {
        mLog.append(entry);
        mFirstUnsavedIndex = Math.min(mFirstUnsavedIndex, entry.index());
    }

    /** Removes all entries from this index on, which conflict with the leader's. */
    void truncateFrom(long index) {
        mLog.truncateFrom(index);
        mFirstUnsavedIndex = Math.min(mFirstUnsavedIndex, index);
        capPersistedIndex(index - 1);
    }

    /**
     * Assigns the next sequence number of persists and snapshot saves.
     *
     * @param lastIndex the last index that the write makes durable
     */
    long nextPersistNumber(long lastIndex) {
        mLastNumber++;
        mPending.add(new PendingPersist(mLastNumber, lastIndex));
        return mLastNumber;
    }

    /** Returns the effects collected for one input, including a persist of all unsaved changes. */
    List<AgreementEffect> drainEffects() {
        reportRoleChange();
        reportMembershipChange();
        flushUnsaved();
        return mOutbox.drain(
                mHardStateFailed ? OptionalLong.empty() : OptionalLong.of(mHardStateNumber));
    }

    /** Adds a persist of all unsaved changes, so that later writes are ordered after it. */
    void flushUnsaved() {
        List<LogEntry> entries = mLog.between(mFirstUnsavedIndex - 1, mLog.lastIndex());
        boolean includesHardState = mHardStateUnsaved && !mHardStateFailed;
        if (!includesHardState && entries.isEmpty()) {
            return;
        }
        long number = nextPersistNumber(mLog.lastIndex());
        Optional<HardState> hardState = Optional.empty();
        if (includesHardState) {
            hardState = Optional.of(hardState());
            mHardStateNumber = number;
            mHardStateUnsaved = false;
        }
        mFirstUnsavedIndex = mLog.lastIndex() + 1;
        mOutbox.add(new AgreementEffect.Persist(number, hardState, entries));
    }

    void persisted(long number) {
        mSyncedNumber = Math.max(mSyncedNumber, number);
        while (!mPending.isEmpty() && mPending.peek().number() <= number) {
            mPersistedIndex = Math.max(mPersistedIndex, mPending.poll().lastIndex());
        }
    }

    /** Returns the number of the oldest write that is not synced yet. */
    OptionalLong oldestPendingNumber() {
        return mPending.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mPending.peek().number());
    }

    /** Returns the size of the entries that are not known to be on disk. */
    long unsavedBytes() {
        return mLog.between(mPersistedIndex, mLog.lastIndex()).stream()
                .mapToLong(LogEntry::sizeBytes)
                .sum();
    }

    /**
     * Discards entries that did not reach the disk. A hard state that did not is written again
     * after the next tick, unless it is a candidacy, which nobody has heard of.
     */
    void persistFailed() {
        mPending.clear();
        if (mHardStateNumber > mSyncedNumber) {
            if (mRole == MemberRole.CANDIDATE && mBeforeCandidacy.isPresent()) {
                withdrawCandidacy(mBeforeCandidacy.get());
            } else {
                mHardStateUnsaved = true;
                mHardStateFailed = true;
            }
        }
        mLog.truncateFrom(mPersistedIndex + 1);
        mFirstUnsavedIndex = mLog.lastIndex() + 1;
    }

    /**
     * Returns to the term before a candidacy that was not saved. Its requests for votes waited for
     * the disk, and no message of its term was accepted, or this member would be no candidate.
     */
    private void withdrawCandidacy(SavedHardState before) {
        mTerm = before.hardState().term();
        mVote = before.hardState().vote();
        mHardStateNumber = before.number();
        mHardStateUnsaved = false;
        mBeforeCandidacy = Optional.empty();
    }

    /** Allows a hard state that could not be saved to be written again. */
    void retryHardState() {
        mHardStateFailed = false;
    }

    /** Replaces the log with a snapshot and entries that are already on disk. */
    void resetToSnapshot(Snapshot snapshot, List<LogEntry> following) {
        mSnapshot = Optional.of(snapshot);
        mLog.resetToSnapshot(snapshot, following);
        mFirstUnsavedIndex = mLog.lastIndex() + 1;
        mPersistedIndex = mLog.lastIndex();
        capPersistedIndex(mLog.lastIndex());
        mCommitIndex = Math.max(mCommitIndex, snapshot.index());
    }

    /** Returns whether the current term and vote are on disk. */
    boolean isHardStateDurable() {
        return !mHardStateUnsaved && mSyncedNumber >= mHardStateNumber;
    }

    HardState hardState() {
        return new HardState(mTerm, mVote);
    }

    private void capPersistedIndex(long lastIndex) {
        mPersistedIndex = Math.min(mPersistedIndex, lastIndex);
        List<PendingPersist> capped =
                mPending.stream()
                        .map(
                                pending ->
                                        new PendingPersist(
                                                pending.number(),
                                                Math.min(pending.lastIndex(), lastIndex)))
                        .toList();
        mPending.clear();
        mPending.addAll(capped);
    }

    private void reportRoleChange() {
        if (mRole != mReportedRole || mTerm != mReportedTerm || !mLeader.equals(mReportedLeader)) {
            mReportedRole = mRole;
            mReportedTerm = mTerm;
            mReportedLeader = mLeader;
            mOutbox.add(new AgreementEffect.RoleChanged(mRole, mTerm, mLeader));
        }
    }

    private void reportMembershipChange() {
        Membership current = mLog.membership();
        if (!current.equals(mReportedMembership)) {
            mOutbox.add(
                    new AgreementEffect.MembershipChanged(
                            mReportedMembership, current, mLog.membershipIndex()));
            mReportedMembership = current;
        }
    }
}
