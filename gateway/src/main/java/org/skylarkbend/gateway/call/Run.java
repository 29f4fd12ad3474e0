package org.skylarkbend.gateway.call;

import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.endpoints.EngineChoice;

/**
 * Attempt that is under way, with what has arrived of its response. Each has its own, so bytes of
 * two responses are never joined. Confined to the task that serves the calls.
 */
final class Run {
    private static final long NONE_MILLISECONDS = -1;

    private final Attempt mAttempt;
    private final EngineChoice mChoice;
    private final ReceivedResponse mReceived;
    private final long mStartedMilliseconds;
    private long mFirstEventMilliseconds = NONE_MILLISECONDS;
    private ResponseHead mHead;
    private boolean mPaid;
    private boolean mBodySent;
    private boolean mSilent;
    private boolean mWaitsForCaller;

    /**
     * Creates a run whose attempt has not started.
     *
     * @param attempt the attempt
     * @param choice the choice of its endpoint
     * @param received what has arrived of the response
     * @param isPaid false if a retry is still to be taken from the budget when the call is sent
     * @param nowMilliseconds current time
     */
    Run(
            Attempt attempt,
            EngineChoice choice,
            ReceivedResponse received,
            boolean isPaid,
            long nowMilliseconds) {
        mAttempt = attempt;
        mChoice = choice;
        mReceived = received;
        mPaid = isPaid;
        mStartedMilliseconds = nowMilliseconds;
    }

    Attempt attempt() {
        return mAttempt;
    }

    Endpoint endpoint() {
        return mChoice.endpoint();
    }

    EngineChoice choice() {
        return mChoice;
    }

    ReceivedResponse received() {
        return mReceived;
    }

    /** Returns the head of the response, once it has arrived. */
    ResponseHead head() {
        return mHead;
    }

    /** Records the head of the response. */
    void headReceived(ResponseHead head) {
        mHead = head;
    }

    /** Returns whether the retry budget has been charged for the attempt, if it had to be. */
    boolean isPaid() {
        return mPaid;
    }

    /** Records that the retry budget was charged. */
    void paid() {
        mPaid = true;
    }

    /** Returns whether the request was written completely. */
    boolean isBodySent() {
        return mBodySent;
    }

    /** Records that the request was written completely. */
    void bodySent() {
        mBodySent = true;
    }

    /** Returns whether the endpoint has been silent for too long and has not gone on since. */
    boolean isSilent() {
        return mSilent;
    }

    /** Records that the endpoint fell silent, or went on. */
    void setSilent(boolean isSilent) {
        mSilent = isSilent;
    }

    /** Returns whether the response is not read because the caller must read first. */
    boolean waitsForCaller() {
        return mWaitsForCaller;
    }

    /** Stops reading the response until {@link #resume}. */
    void pause() {
        mWaitsForCaller = true;
        mAttempt.pause();
    }

    /** Reads the response again. */
    void resume() {
        mWaitsForCaller = false;
        mAttempt.resume();
    }

    /** Records that events of the stream have arrived. */
    void eventsArrived(long nowMilliseconds) {
        if (mFirstEventMilliseconds == NONE_MILLISECONDS) {
            mFirstEventMilliseconds = nowMilliseconds;
        }
    }

    /** Returns the time from the start to the first event, or until now if there was none. */
    long firstEventMilliseconds(long nowMilliseconds) {
        boolean hasEvent = mFirstEventMilliseconds != NONE_MILLISECONDS;
        return (hasEvent ? mFirstEventMilliseconds : nowMilliseconds) - mStartedMilliseconds;
    }

    /** Returns the time since the first event; 0 if there was none. */
    long streamMilliseconds(long nowMilliseconds) {
        boolean hasEvent = mFirstEventMilliseconds != NONE_MILLISECONDS;
        return hasEvent ? nowMilliseconds - mFirstEventMilliseconds : 0;
    }
}
