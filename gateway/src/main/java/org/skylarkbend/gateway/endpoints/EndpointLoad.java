package org.skylarkbend.gateway.endpoints;

import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;

/** Load and health of one endpoint as known to a gateway. Owned by {@link EndpointSelector}. */
final class EndpointLoad {
    /** Time for which the load reported by an endpoint is valid. */
    private static final long REPORT_LIFE_MILLISECONDS = 1_000;

    /** Time for which the work of other gateways is valid. It is sent several times a second. */
    private static final long OTHERS_LIFE_MILLISECONDS = 1_500;

    private static final long FIRST_PAUSE_MILLISECONDS = 250;
    private static final long MAX_PAUSE_MILLISECONDS = 4_000;
    private static final int MAX_DOUBLINGS = 4;

    private Endpoint mEndpoint;
    private int mCalls;
    private long mPromptTokens;
    private EndpointWork mOthers = EndpointWork.none();
    private long mOthersMilliseconds = Long.MIN_VALUE / 2;
    private int mOtherRunning;
    private int mWaiting;
    private long mReportedMilliseconds = Long.MIN_VALUE / 2;
    private int mFailures;
    private boolean mRefusing;
    private long mPausedUntilMilliseconds = Long.MIN_VALUE / 2;
    private long mHeardMilliseconds = Long.MIN_VALUE / 2;
    private boolean mUnreachable;

    EndpointLoad(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    void update(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    void begin(long promptTokens, long nowMilliseconds) {
        if (mCalls == 0) {
            mHeardMilliseconds = nowMilliseconds;
        }
        mCalls++;
        mPromptTokens += promptTokens;
    }

    void promptRead(long promptTokens) {
        mPromptTokens -= promptTokens;
    }

    void end() {
        mCalls--;
    }

    void report(int running, int waiting, long nowMilliseconds) {
        mOtherRunning = Math.max(0, running - mCalls);
        mWaiting = waiting;
        mReportedMilliseconds = nowMilliseconds;
    }

    /** Records that the endpoint sent data or accepted a connection. */
    void heard(long nowMilliseconds) {
        mHeardMilliseconds = nowMilliseconds;
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
    boolean isQuiet(long nowMilliseconds, long quietMilliseconds) {
        return mUnreachable
                || mCalls > 0 && nowMilliseconds - mHeardMilliseconds > quietMilliseconds;
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

    /** Returns whether the endpoint refused a call and has answered none since. */
    boolean isRefusing() {
        return mRefusing;
    }

    /**
     * Records a failure. The endpoint gets no calls for a backoff time that doubles with each
     * consecutive failure, up to a maximum.
     */
    void failed(long nowMilliseconds) {
        int doublings = Math.min(mFailures, MAX_DOUBLINGS);
        long pauseMilliseconds =
                Math.min(MAX_PAUSE_MILLISECONDS, FIRST_PAUSE_MILLISECONDS << doublings);
        mFailures++;
        mPausedUntilMilliseconds = nowMilliseconds + pauseMilliseconds;
    }

    boolean isPaused(long nowMilliseconds) {
        return nowMilliseconds < mPausedUntilMilliseconds;
    }

    /** Returns the work that this gateway has in flight at the endpoint. */
    EndpointWork own() {
        return new EndpointWork(mPromptTokens, mCalls);
    }

    /** Records the work that all other gateways together have in flight at the endpoint. */
    void othersHave(EndpointWork work, long nowMilliseconds) {
        mOthers = work;
        mOthersMilliseconds = nowMilliseconds;
    }

    /** Returns the known number of calls that the endpoint runs or queues. */
    long calls(long nowMilliseconds) {
        if (isTold(nowMilliseconds)) {
            return mCalls + mOthers.calls();
        }
        return mCalls + (isReported(nowMilliseconds) ? mOtherRunning + mWaiting : 0);
    }

    /**
     * Returns the number of waiting calls: those beyond its slots, or the reported number if it is
     * larger.
     */
    long waiting(long nowMilliseconds) {
        long beyondSlots = Math.max(0, calls(nowMilliseconds) - mEndpoint.slots() + 1);
        return isReported(nowMilliseconds) ? Math.max(beyondSlots, mWaiting) : beyondSlots;
    }

    /** Returns the known number of prompt tokens that the endpoint has not processed yet. */
    long promptTokens(long nowMilliseconds) {
        return mPromptTokens + (isTold(nowMilliseconds) ? mOthers.promptTokens() : 0);
    }

    private boolean isTold(long nowMilliseconds) {
        return nowMilliseconds - mOthersMilliseconds < OTHERS_LIFE_MILLISECONDS;
    }

    private boolean isReported(long nowMilliseconds) {
        return nowMilliseconds - mReportedMilliseconds < REPORT_LIFE_MILLISECONDS;
    }
}
