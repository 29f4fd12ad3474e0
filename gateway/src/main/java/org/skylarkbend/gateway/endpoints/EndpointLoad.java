package org.skylarkbend.gateway.endpoints;

import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;

/** Load and health of one endpoint as known to a gateway. Owned by {@link EndpointSelector}. */
final class EndpointLoad {
    /** Time for which the load reported by an endpoint is valid. */
    private static final long REPORT_VALID_MILLISECONDS = 1_000;

    /** Time for which the work of other gateways is valid. It is sent several times a second. */
    private static final long OTHER_WORK_VALID_MILLISECONDS = 1_500;

    /** Time for which a reported time of work is valid. It changes many times per second. */
    private static final long WORK_TIME_VALID_MILLISECONDS = 300;

    private static final int USUAL_PERCENT = 100;
    private static final long MIN_BACKOFF_MILLISECONDS = 250;
    private static final long MAX_BACKOFF_MILLISECONDS = 4_000;
    private static final int MAX_DOUBLINGS = 4;

    private final String mIncarnation;
    private Endpoint mEndpoint;
    private int mCalls;
    private long mPromptTokens;
    private EndpointWork mOtherWork = EndpointWork.none();
    private long mOtherWorkMilliseconds = Long.MIN_VALUE / 2;
    private int mOtherRunningCalls;
    private int mWaitingCalls;
    private int mWorkTimePercent = USUAL_PERCENT;
    private long mReportedMilliseconds = Long.MIN_VALUE / 2;
    private int mFailures;
    private boolean mRefusing;
    private long mBackoffUntilMilliseconds = Long.MIN_VALUE / 2;
    private long mLastActivityMilliseconds = Long.MIN_VALUE / 2;
    private boolean mUnreachable;
    private boolean mLeaving;
    private long mPausedUntilMilliseconds = Long.MIN_VALUE / 2;

    EndpointLoad(Endpoint endpoint) {
        mIncarnation = endpoint.incarnation();
        mEndpoint = endpoint;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    String incarnation() {
        return mIncarnation;
    }

    void update(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    void callStarted(long promptTokens, long nowMilliseconds) {
        if (mCalls == 0) {
            mLastActivityMilliseconds = nowMilliseconds;
        }
        mCalls++;
        mPromptTokens += promptTokens;
    }

    void promptRead(long promptTokens) {
        mPromptTokens -= promptTokens;
    }

    void callEnded() {
        mCalls--;
    }

    void loadReported(ReportedLoad load, long nowMilliseconds) {
        mOtherRunningCalls = Math.max(0, load.running() - mCalls);
        mWaitingCalls = load.waiting();
        mWorkTimePercent = load.workTimePercent().orElse(USUAL_PERCENT);
        mReportedMilliseconds = nowMilliseconds;
    }

    /**
     * Returns the factor by which work takes longer on the endpoint's machine than usual, as far as
     * that is known at the moment.
     */
    double workTime(long nowMilliseconds) {
        boolean isKnown = nowMilliseconds - mReportedMilliseconds < WORK_TIME_VALID_MILLISECONDS;
        return isKnown ? Math.max(1, (double) mWorkTimePercent / USUAL_PERCENT) : 1;
    }

    /** Records that the endpoint sent data or accepted a connection. */
    void responded(long nowMilliseconds) {
        mLastActivityMilliseconds = nowMilliseconds;
        mUnreachable = false;
    }

    /** Records that the endpoint accepted no connection. */
    void unreachable() {
        mUnreachable = true;
    }

    boolean isUnreachable() {
        return mUnreachable;
    }

    /**
     * Returns whether the endpoint is unreachable, or has calls and has sent nothing for any of
     * them for the given time.
     */
    boolean needsProbe(long nowMilliseconds, long silenceMilliseconds) {
        return mUnreachable
                || mCalls > 0 && nowMilliseconds - mLastActivityMilliseconds > silenceMilliseconds;
    }

    void succeeded() {
        mFailures = 0;
        mRefusing = false;
    }

    /**
     * Records a call that was refused without being run. The endpoint may refuse all others for a
     * while.
     */
    void refused(long nowMilliseconds) {
        mRefusing = true;
        failed(nowMilliseconds);
    }

    /** Returns whether the endpoint refused a call and has responded to none since. */
    boolean isRefusing() {
        return mRefusing;
    }

    /**
     * Records a failure. The endpoint gets no calls for a backoff time that doubles with each
     * consecutive failure, up to a maximum.
     */
    void failed(long nowMilliseconds) {
        int doublings = Math.min(mFailures, MAX_DOUBLINGS);
        long backoffMilliseconds =
                Math.min(MAX_BACKOFF_MILLISECONDS, MIN_BACKOFF_MILLISECONDS << doublings);
        mFailures++;
        mBackoffUntilMilliseconds = nowMilliseconds + backoffMilliseconds;
    }

    /** Records that the endpoint is shutting down, whatever the list of endpoints says. */
    void leaving() {
        mLeaving = true;
    }

    /** Records that the endpoint asked this gateway to send no calls for a time. */
    void pausedFor(long milliseconds, long nowMilliseconds) {
        mPausedUntilMilliseconds =
                Math.max(mPausedUntilMilliseconds, nowMilliseconds + milliseconds);
    }

    /** Returns the time for which the endpoint wants no calls, or 0. */
    long pausedMilliseconds(long nowMilliseconds) {
        return Math.max(0, mPausedUntilMilliseconds - nowMilliseconds);
    }

    /** Returns whether the endpoint accepts new calls of this gateway, as far as it has said. */
    boolean acceptsCalls(long nowMilliseconds) {
        return !mLeaving && pausedMilliseconds(nowMilliseconds) == 0;
    }

    boolean isLeaving() {
        return mLeaving || mEndpoint.leaving();
    }

    boolean isBackingOff(long nowMilliseconds) {
        return nowMilliseconds < mBackoffUntilMilliseconds;
    }

    /** Returns whether this gateway has work in flight at the endpoint. */
    boolean hasOwnWork() {
        return mCalls != 0 || mPromptTokens != 0;
    }

    /** Returns whether the endpoint needs no periodic check. */
    boolean isInactive() {
        return !hasOwnWork() && !mUnreachable;
    }

    /** Returns the work that this gateway has in flight at the endpoint. */
    EndpointWork own() {
        return new EndpointWork(mPromptTokens, mCalls);
    }

    /** Records the work that all other gateways together have in flight at the endpoint. */
    void otherWorkChanged(EndpointWork work, long nowMilliseconds) {
        mOtherWork = work;
        mOtherWorkMilliseconds = nowMilliseconds;
    }

    /** Returns the known number of calls that the endpoint runs or queues. */
    long calls(long nowMilliseconds) {
        if (isOtherWorkValid(nowMilliseconds)) {
            return mCalls + mOtherWork.calls();
        }
        return mCalls + (isReportValid(nowMilliseconds) ? mOtherRunningCalls + mWaitingCalls : 0);
    }

    /**
     * Returns the number of waiting calls: those beyond its slots, or the reported number if it is
     * larger.
     */
    long waiting(long nowMilliseconds) {
        long beyondSlots = Math.max(0, calls(nowMilliseconds) - mEndpoint.slots() + 1);
        return isReportValid(nowMilliseconds) ? Math.max(beyondSlots, mWaitingCalls) : beyondSlots;
    }

    /** Returns the known number of prompt tokens that the endpoint has not processed yet. */
    long promptTokens(long nowMilliseconds) {
        return mPromptTokens + (isOtherWorkValid(nowMilliseconds) ? mOtherWork.promptTokens() : 0);
    }

    private boolean isOtherWorkValid(long nowMilliseconds) {
        return nowMilliseconds - mOtherWorkMilliseconds < OTHER_WORK_VALID_MILLISECONDS;
    }

    private boolean isReportValid(long nowMilliseconds) {
        return nowMilliseconds - mReportedMilliseconds < REPORT_VALID_MILLISECONDS;
    }
}
