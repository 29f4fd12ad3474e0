package org.skylarkbend.standin.engine;

import org.skylarkbend.standin.engine.EngineEffect.SendEnd;
import org.skylarkbend.standin.engine.EngineEffect.SendToken;

/** The state of one response: waiting, running, or complete and still resumable. */
final class ResponseStream {
    /** The progress of a response. */
    enum Phase {
        WAITING,
        COMPUTING_PROMPT,
        RESPONDING,
        ENDED
    }

    private final EngineRequest mRequest;
    private final String mVersion;
    private Phase mPhase = Phase.WAITING;
    private int mCachedTokens;
    private int mSentTokens;
    private long mNextEventMilliseconds;
    private long mExpiryMilliseconds = Long.MAX_VALUE;
    private boolean mDropped;

    ResponseStream(EngineRequest request, String version) {
        mRequest = request;
        mVersion = version;
    }

    EngineRequest request() {
        return mRequest;
    }

    String version() {
        return mVersion;
    }

    Phase phase() {
        return mPhase;
    }

    long nextEventMilliseconds() {
        return mNextEventMilliseconds;
    }

    long expiryMilliseconds() {
        return mExpiryMilliseconds;
    }

    int sentTokens() {
        return mSentTokens;
    }

    void computePrompt(int cachedTokens, long readyAtMilliseconds) {
        mPhase = Phase.COMPUTING_PROMPT;
        mCachedTokens = cachedTokens;
        mNextEventMilliseconds = readyAtMilliseconds;
    }

    void startResponse() {
        mPhase = Phase.RESPONDING;
    }

    SendToken nextToken(long tokenMilliseconds) {
        mSentTokens++;
        mNextEventMilliseconds += tokenMilliseconds;
        return token(mSentTokens);
    }

    boolean isComplete() {
        return mSentTokens >= mRequest.answerTokens();
    }

    void end() {
        mPhase = Phase.ENDED;
    }

    void expireAt(long atMilliseconds) {
        mExpiryMilliseconds = atMilliseconds;
    }

    /**
     * Returns true once, when the response reaches the length at which the fault closes its
     * connection.
     */
    boolean shouldDrop(int dropAfterTokens) {
        if (mDropped || dropAfterTokens == 0 || mSentTokens < dropAfterTokens) {
            return false;
        }
        mDropped = true;
        return true;
    }

    SendToken token(int position) {
        String text = position == 1 ? mRequest.firstWord() : " t" + position;
        return new SendToken(mRequest.attempt(), position, text);
    }

    SendEnd endEffect() {
        return new SendEnd(
                mRequest.attempt(),
                mVersion,
                mRequest.prompt().promptTokens(),
                mCachedTokens,
                mSentTokens);
    }
}
