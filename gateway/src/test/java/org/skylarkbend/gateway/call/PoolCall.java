package org.skylarkbend.gateway.call;

import java.util.List;
import org.skylarkbend.gateway.endpoints.EndpointSelector;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.gateway.endpoints.Prompt;

/** A call of {@link PoolSchedule}, the attempt that is under way, and what its caller received. */
final class PoolCall {
    /**
     * Kind of calls.
     *
     * @param name name of the kind
     * @param priority priority of its route
     * @param callsPerSecond calls in a second
     * @param parts parts of a prompt in order; the last one is private to the call
     * @param events mean number of events of a response
     * @param targetMilliseconds target of the first event
     * @param pauseMilliseconds longest pause of a response in time
     * @param patienceMilliseconds time without an event after which the caller leaves
     * @param worth worth of a response in time
     * @param lateWorth worth of a late response
     */
    record Kind(
            String name,
            int priority,
            double callsPerSecond,
            List<Part> parts,
            int events,
            long targetMilliseconds,
            long pauseMilliseconds,
            long patienceMilliseconds,
            double worth,
            double lateWorth) {}

    /** Position in a prompt that is filled by one of several parts of a size in tokens. */
    record Part(long tokens, int variants) {}

    /** Attempt at an engine. */
    record Sent(BatchEngine engine, EngineChoice choice, long atMilliseconds) {}

    private final Kind mKind;
    private final CallRequest mRequest;
    private final EndpointSelector mGateway;
    private final int mEvents;
    private Sent mSent;
    private long mLastEventMilliseconds;
    private int mReceivedEvents;
    private boolean mLate;

    PoolCall(Kind kind, CallRequest request, EndpointSelector gateway, int events) {
        mKind = kind;
        mRequest = request;
        mGateway = gateway;
        mEvents = events;
        mLastEventMilliseconds = request.arrivedMilliseconds();
    }

    Kind kind() {
        return mKind;
    }

    CallRequest request() {
        return mRequest;
    }

    Prompt prompt() {
        return mRequest.prompt().orElseThrow();
    }

    EndpointSelector gateway() {
        return mGateway;
    }

    /** Returns the number of events of the response. */
    int events() {
        return mEvents;
    }

    Sent sent() {
        return mSent;
    }

    /** Records that the call was sent to an engine. */
    void sent(Sent sent) {
        mSent = sent;
    }

    boolean hasEvents() {
        return mReceivedEvents > 0;
    }

    boolean isComplete() {
        return mReceivedEvents == mEvents;
    }

    /** Returns the worth of the response, if it is complete. */
    double earned() {
        return mLate ? mKind.lateWorth() : mKind.worth();
    }

    /** Records an event of the response. */
    void eventReceived(long nowMilliseconds) {
        long limit = hasEvents() ? mKind.pauseMilliseconds() : mKind.targetMilliseconds();
        mLate |= nowMilliseconds - mLastEventMilliseconds > limit;
        mLastEventMilliseconds = nowMilliseconds;
        mReceivedEvents++;
    }

    /** Returns whether the caller has given up. */
    boolean isAbandoned(long nowMilliseconds) {
        return nowMilliseconds - mLastEventMilliseconds > mKind.patienceMilliseconds();
    }
}
