package org.skylarkbend.agreement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckRequest;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckResponse;

/**
 * Decides when a leader whose disk fails or hangs gives up its leadership: as soon as a quorum of
 * the other voters can write what it could not. As long as none of them could do better, it stays
 * the leader, because it can still confirm its leadership to readers.
 *
 * <p>It then only stops leading. The others elect a leader after their election timeout, as after a
 * crash, so that everything that relies on their not voting earlier holds.
 */
final class DiskHandOver {
    /**
     * The maximum election timeouts for which a write may wait until the disk counts as hanging.
     */
    private static final int HANGING_ELECTION_TIMEOUTS = 2;

    /** The checks that may pass between failures before they no longer count. */
    private static final int MAX_CHECKS_IN_VAIN = 1;

    private final MemberState mState;
    private final Map<MemberId, Long> mCouldWriteAtMilliseconds = new HashMap<>();
    private Optional<Check> mCheck = Optional.empty();
    private boolean mFailed;
    private long mFailedBytes;
    private long mFailure;
    private long mAskedAtMilliseconds;
    private boolean mCheckPassed;
    private int mChecksInVain;
    private OptionalLong mOldestPending = OptionalLong.empty();
    private long mPendingSinceMilliseconds;

    /**
     * A check of the own disk that is in flight.
     *
     * @param asker the leader that asked for it, or empty if this member checks for itself
     * @param term the term in which it was started
     * @param failure the number of the failure of the asker
     * @param othersCanWrite true if a quorum of the others could write when it was started
     */
    private record Check(
            Optional<MemberId> asker, long term, long failure, boolean othersCanWrite) {}

    DiskHandOver(MemberState state) {
        mState = state;
    }

    /** Starts a term as leader, whose disk has just saved the vote. */
    void startTerm() {
        mFailed = false;
        mOldestPending = OptionalLong.empty();
        persisted();
    }

    /** Notes that the leader's disk has written something. */
    void persisted() {
        mCheckPassed = false;
        mChecksInVain = 0;
    }

    /** Asks the others after a failure of the leader's disk to write this many bytes. */
    void persistFailed(long sizeBytes, long nowMilliseconds) {
        if (mFailed) {
            mFailedBytes = Math.max(mFailedBytes, sizeBytes);
            return;
        }
        if (mCheckPassed) {
            mCheckPassed = false;
            mChecksInVain++;
        }
        mFailed = true;
        mFailedBytes = sizeBytes;
        mFailure++;
        mCouldWriteAtMilliseconds.clear();
        ask(nowMilliseconds);
    }

    /**
     * Asks the others while the leader's disk fails or hangs, and again from time to time, because
     * disks come back and messages get lost. Returns whether the leader has to step down because
     * its disk hangs and others can write.
     */
    boolean tick(long nowMilliseconds) {
        boolean hangs = isHanging(nowMilliseconds);
        if (hangs && !mFailed) {
            persistFailed(mState.unsavedBytes(), nowMilliseconds);
        }
        if (mFailed
                && nowMilliseconds - mAskedAtMilliseconds
                        >= mState.mOptions.electionMinMilliseconds()) {
            ask(nowMilliseconds);
        }
        return hangs && othersCanWrite(nowMilliseconds);
    }

    /** Checks the own disk for a leader. While another check is in flight, it has to ask again. */
    void receive(MemberId from, DiskCheckRequest request, long nowMilliseconds) {
        startCheck(Optional.of(from), request.failure(), request.sizeBytes(), nowMilliseconds);
    }

    void receive(MemberId from, DiskCheckResponse response, long nowMilliseconds) {
        if (mFailed && response.failure() == mFailure) {
            mCouldWriteAtMilliseconds.put(from, nowMilliseconds);
            if (othersCanWrite(nowMilliseconds)) {
                checkOwnDisk(nowMilliseconds);
            }
        }
    }

    /** Processes the result of a check and returns whether the leader has to step down. */
    boolean checked(boolean canWrite, long nowMilliseconds) {
        Check check = mCheck.orElseThrow();
        mCheck = Optional.empty();
        if (check.asker().isPresent()) {
            if (canWrite && check.term() == mState.mTerm) {
                mState.mOutbox.send(
                        check.asker().get(), new DiskCheckResponse(mState.mTerm, check.failure()));
            }
            return false;
        }
        if (!mState.isLeader() || check.term() != mState.mTerm || !mFailed) {
            return false;
        }
        mCheckPassed = canWrite;
        mFailed = !canWrite || mChecksInVain > MAX_CHECKS_IN_VAIN;
        if (mFailed && !check.othersCanWrite() && othersCanWrite(nowMilliseconds)) {
            checkOwnDisk(nowMilliseconds);
        }
        return mFailed && check.othersCanWrite();
    }

    /** Returns whether no write has finished for long while one waits. */
    private boolean isHanging(long nowMilliseconds) {
        OptionalLong oldestPending = mState.oldestPendingNumber();
        if (!oldestPending.equals(mOldestPending)) {
            mOldestPending = oldestPending;
            mPendingSinceMilliseconds = nowMilliseconds;
        }
        return oldestPending.isPresent()
                && nowMilliseconds - mPendingSinceMilliseconds
                        >= HANGING_ELECTION_TIMEOUTS * mState.mOptions.electionMaxMilliseconds();
    }

    private void ask(long nowMilliseconds) {
        mAskedAtMilliseconds = nowMilliseconds;
        for (MemberId voter : mState.mLog.membership().voters()) {
            if (!voter.equals(mState.mSelf)) {
                mState.mOutbox.send(
                        voter, new DiskCheckRequest(mState.mTerm, mFailure, mFailedBytes));
            }
        }
        checkOwnDisk(nowMilliseconds);
    }

    private void checkOwnDisk(long nowMilliseconds) {
        startCheck(Optional.empty(), mFailure, mFailedBytes, nowMilliseconds);
    }

    private void startCheck(
            Optional<MemberId> asker, long failure, long sizeBytes, long nowMilliseconds) {
        if (mCheck.isEmpty()) {
            boolean othersCanWrite = othersCanWrite(nowMilliseconds);
            mCheck = Optional.of(new Check(asker, mState.mTerm, failure, othersCanWrite));
            mState.mOutbox.add(new AgreementEffect.CheckDisk(sizeBytes));
        }
    }

    /** Returns whether a quorum of the others could write within the longest election timeout. */
    private boolean othersCanWrite(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - mState.mOptions.electionMaxMilliseconds();
        return mState.mLog
                .membership()
                .isQuorum(
                        voter ->
                                mCouldWriteAtMilliseconds.getOrDefault(voter, Long.MIN_VALUE)
                                        >= oldestMilliseconds);
    }
}
