package org.skylarkbend.gateway.endpoints;

import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;

/** What a gateway knows of one endpoint's load. Owned by the board. */
final class EndpointLoad {
    /** How long an endpoint's own report of its load says something. */
    private static final long REPORT_LIFE_MILLISECONDS = 1_000;

    /** What other gateways have under way is told several times a second. */
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

    /** The endpoint sent something, or took a connection. */
    void heard(long nowMilliseconds) {
        mHeardMilliseconds = nowMilliseconds;
        mUnreachable = false;
    }

    /** The endpoint took no connection. */
    void unreachable() {
        mUnreachable = true;
    }

    boolean isUnreachable() {
        return mUnreachable;
    }

    /** Whether it has calls and has sent nothing for any of them for a while. */
    boolean isQuiet(long nowMilliseconds, long quietMilliseconds) {
        return mUnreachable
                || mCalls > 0 && nowMilliseconds - mHeardMilliseconds > quietMilliseconds;
    }

    void succeeded() {
        mFailures = 0;
        mRefusing = false;
    }

    /** It refused a call without running it, and may refuse all others for a while. */
    void refused(long nowMilliseconds) {
        mRefusing = true;
        failed(nowMilliseconds);
    }

    /** Whether it refused a call and has answered none since. */
    boolean isRefusing() {
        return mRefusing;
    }

    /** Leaves the endpoint alone for a while, longer with each failure in a row. */
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

    /** What this gateway has under way there. */
    EndpointWork own() {
        return new EndpointWork(mPromptTokens, mCalls);
    }

    /** Control told what all other gateways have under way there. */
    void othersHave(EndpointWork work, long nowMilliseconds) {
        mOthers = work;
        mOthersMilliseconds = nowMilliseconds;
    }

    /** The calls that it runs or holds in its queue, as far as is known. */
    long calls(long nowMilliseconds) {
        if (isTold(nowMilliseconds)) {
            return mCalls + mOthers.calls();
        }
        return mCalls + (isReported(nowMilliseconds) ? mOtherRunning + mWaiting : 0);
    }

    /** The calls that wait there: more than it has slots, or those that it reports. */
    long waiting(long nowMilliseconds) {
        long beyondSlots = Math.max(0, calls(nowMilliseconds) - mEndpoint.slots() + 1);
        return isReported(nowMilliseconds) ? Math.max(beyondSlots, mWaiting) : beyondSlots;
    }

    /** The prompt tokens that it has not read yet, as far as is known. */
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
