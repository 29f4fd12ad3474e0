package org.skylarkbend.intake;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.wire.HeldBytes;
import org.skylarkbend.wire.RequestDecoder;

/**
 * Reads the bodies of requests within the memory for all of them.
 *
 * <p>A body of known size is read once there is room for all of it; until then its connection is
 * not read, so that its caller waits. Large requests wait in order of arrival, and not for long;
 * small ones pass them. Confined to the task that serves the calls.
 */
public final class BodyIntake {
    /** A caller gives up a connection that does not read its request within a second. */
    private static final long MAX_WAIT_MILLISECONDS = 500;

    /**
     * Longest time between two checks that counts as idle. A gateway that checks later was held up
     * itself, and what callers sent meanwhile is still to be read.
     */
    private static final long MAX_CHECK_MILLISECONDS = 500;

    /** Time without a byte after which a body counts as stalled if memory is needed. */
    private static final long STALLED_MILLISECONDS = 400;

    /** Age from which a body also counts as stalled if little of it has arrived. */
    private static final long SLOW_MILLISECONDS = 1_000;

    /** A body that arrives more slowly takes a minute and more for the usual maximum size. */
    private static final long MIN_BYTES_PER_MILLISECOND = 64;

    /** Time between two checks after which the gateway counts as held up. */
    private static final long HELD_UP_MILLISECONDS = 400;

    /** Time for which requests may still be read late after the gateway was held up. */
    private static final long CATCH_UP_MILLISECONDS = 2_000;

    /** Bodies up to this size are read before larger ones that wait. */
    private static final long SMALL_BYTES = 64 * 1024;

    private final Vertx mVertx;
    private final ByteBudget mBudget;
    private final CallerMemory mMemory;
    private final MillisecondClock mClock;
    private final Deque<Reading> mWaiting = new ArrayDeque<>();
    private final Set<Reading> mReadings = new HashSet<>();
    private long mCheckedMilliseconds;
    private long mHeldUpUntilMilliseconds = Long.MIN_VALUE / 2;

    /**
     * Receives a complete body, or the reason why there is none. Neither is called if the
     * connection is lost first. If {@code complete} throws, the body is released and {@code
     * refused} is called.
     */
    public interface Listener {
        /** Called with the complete body, which the listener must release. */
        void complete(HeldBytes body);

        /** Called if the body is not read. The rest of it is discarded. */
        void refused(SkylarkError error);
    }

    /**
     * Creates an intake without requests.
     *
     * @param vertx sets the timers
     * @param memory memory for the bodies, which ends stalled requests if there is none left
     * @param clock monotonic clock
     */
    public BodyIntake(Vertx vertx, CallerMemory memory, MillisecondClock clock) {
        mMemory = memory;
        mVertx = vertx;
        mBudget = memory.bodies();
        mClock = clock;
        mCheckedMilliseconds = clock.nowMilliseconds();
        mBudget.onRelease(this::startWaiting);
    }

    /**
     * Starts to read the body of a request.
     *
     * @param id ID that the caller gave to the request
     * @param request request whose head has arrived
     * @param limits limits in force when the request began, which stay those of its body
     * @param listener receives the outcome
     */
    public void read(String id, HttpServerRequest request, BodyLimits limits, Listener listener) {
        Reading reading = new Reading(request, limits, listener);
        mReadings.add(reading);
        mMemory.addBody(reading);
        CallBoundary boundary = new CallBoundary(id, reading::fail);
        request.handler(boundary.around(reading::append)::accept);
        request.endHandler(ignored -> boundary.run(() -> reading.complete(boundary)));
        request.exceptionHandler(e -> boundary.run(reading::stop));
        boundary.run(() -> makeRoom(reading));
    }

    private void makeRoom(Reading reading) {
        long length = contentLength(reading.mRequest);
        if (length > reading.mMaxBodyBytes) {
            reading.refuse(reading.mLimits.errors().tooLarge().get());
        } else if (!mWaiting.isEmpty() && length > SMALL_BYTES || !reading.mBody.reserve(length)) {
            waitForRoom(reading, length);
        }
    }

    /**
     * Refuses the bodies of which nothing has arrived for a time, and those that take too long,
     * however often a byte of them arrives. To be called at intervals.
     */
    public void endLate() {
        long nowMilliseconds = mClock.nowMilliseconds();
        long elapsedMilliseconds =
                Math.min(MAX_CHECK_MILLISECONDS, nowMilliseconds - mCheckedMilliseconds);
        if (nowMilliseconds - mCheckedMilliseconds > HELD_UP_MILLISECONDS) {
            mHeldUpUntilMilliseconds = nowMilliseconds + CATCH_UP_MILLISECONDS;
        }
        mCheckedMilliseconds = nowMilliseconds;
        for (Reading reading : List.copyOf(mReadings)) {
            if (!mWaiting.contains(reading)
                    && reading.isLate(nowMilliseconds, elapsedMilliseconds)) {
                reading.refuse(reading.mLimits.errors().late().get());
            }
        }
    }

    private void waitForRoom(Reading reading, long length) {
        if (!RequestDecoder.pause(reading.mRequest.connection())) {
            reading.refuse(reading.mLimits.errors().noMemory().get());
            return;
        }
        reading.mNeededBytes = length;
        mWaiting.add(reading);
        mVertx.setTimer(
                MAX_WAIT_MILLISECONDS,
                id -> {
                    if (mWaiting.remove(reading)) {
                        reading.resume();
                        reading.mArrivedMilliseconds = mClock.nowMilliseconds();
                        // Requests that filled the memory may have stalled since.
                        if (!reading.mBody.reserve(length)) {
                            reading.refuse(reading.mLimits.errors().noMemory().get());
                        }
                    }
                });
    }

    private void startWaiting() {
        while (!mWaiting.isEmpty() && mWaiting.peek().mBody.reserve(mWaiting.peek().mNeededBytes)) {
            mWaiting.poll().resume();
        }
    }

    /** Returns the error of a request that an exception ended before it was sent on. */
    public static SkylarkError stepFailed() {
        return new SkylarkError(ErrorKind.INTERNAL_NOT_RUN, "a step of the request failed");
    }

    private static long contentLength(HttpServerRequest request) {
        String value = request.getHeader("Content-Length");
        boolean isNumber = value != null && value.matches("\\d{1,18}");
        return isNumber ? Long.parseLong(value) : 0;
    }

    /** A body that is being read. */
    private final class Reading implements CallerMemory.Holder {
        private final HttpServerRequest mRequest;
        private final BodyLimits mLimits;
        private final long mMaxBodyBytes;
        private final Listener mListener;
        private final HeldBytes mBody = new HeldBytes(mBudget);
        private long mNeededBytes;
        private long mIdleMilliseconds;
        private final long mBeganMilliseconds = mClock.nowMilliseconds();
        private long mArrivedMilliseconds = mBeganMilliseconds;
        private boolean mHasArrived = true;
        private boolean mSeemsLate;
        private boolean mEnded;
        private boolean mCompleting;

        Reading(HttpServerRequest request, BodyLimits limits, Listener listener) {
            mRequest = request;
            mLimits = limits;
            mMaxBodyBytes = Math.min(limits.maxBytes(), mBudget.limitBytes());
            mListener = listener;
        }

        /**
         * Returns whether the body is late, and was already at the check before, so that what
         * waited in the socket then has been read.
         */
        boolean isLate(long nowMilliseconds, long elapsedMilliseconds) {
            mIdleMilliseconds = mHasArrived ? 0 : mIdleMilliseconds + elapsedMilliseconds;
            mHasArrived = false;
            boolean seemedLate = mSeemsLate;
            mSeemsLate =
                    mIdleMilliseconds > mLimits.idleMilliseconds()
                            || mLimits.untilMilliseconds() <= nowMilliseconds;
            return seemedLate && mSeemsLate;
        }

        @Override
        public boolean isStalled(long nowMilliseconds) {
            long ageMilliseconds = nowMilliseconds - mBeganMilliseconds;
            boolean isSlow =
                    ageMilliseconds >= SLOW_MILLISECONDS
                            && mBody.lengthBytes() < ageMilliseconds * MIN_BYTES_PER_MILLISECOND;
            return !mWaiting.contains(this)
                    && (isSlow || nowMilliseconds - mArrivedMilliseconds >= STALLED_MILLISECONDS);
        }

        @Override
        public void giveUp() {
            stop();
            mMemory.abort(mRequest);
        }

        void append(Buffer chunk) {
            mHasArrived = true;
            mArrivedMilliseconds = mClock.nowMilliseconds();
            if (mEnded) {
                return;
            }
            if (mBody.lengthBytes() + chunk.length() > mMaxBodyBytes) {
                refuse(mLimits.errors().tooLarge().get());
            } else if (!mBody.append(chunk)) {
                refuse(mLimits.errors().noMemory().get());
            }
        }

        /**
         * Passes the body on. While the gateway is held up, it reads the connection once more
         * before: the caller may have left, and then its request must reach no endpoint.
         */
        void complete(CallBoundary boundary) {
            if (mClock.nowMilliseconds() < mHeldUpUntilMilliseconds) {
                mVertx.setTimer(1, id -> boundary.run(this::complete));
            } else {
                complete();
            }
        }

        private void complete() {
            if (end()) {
                mCompleting = true;
                mListener.complete(mBody);
                mCompleting = false;
            }
        }

        /** Refuses the body after an exception, also after one of the listener that got it. */
        void fail() {
            if (end() || mCompleting) {
                mCompleting = false;
                mBody.release();
                mListener.refused(stepFailed());
            }
        }

        void refuse(SkylarkError error) {
            if (end()) {
                mBody.release();
                mListener.refused(error);
            }
        }

        private void resume() {
            RequestDecoder.resume(mRequest.connection());
        }

        /** Ends the reading because the connection is lost. */
        void stop() {
            if (end()) {
                mBody.release();
            }
        }

        private boolean end() {
            boolean isFirst = !mEnded;
            mEnded = true;
            mReadings.remove(this);
            mMemory.removeBody(this);
            if (mWaiting.remove(this)) {
                resume();
            }
            return isFirst;
        }
    }
}
