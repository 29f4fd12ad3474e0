package org.skylarkbend.ctl;

import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;

/**
 * Publishes a set and waits until it is in force.
 *
 * <p>After a lost response or a change of leader, the same set is retried with the same publish ID.
 * Control recognizes the ID and never accepts a set twice.
 */
final class SetPublisher {
    private static final long RETRY_MILLISECONDS = 500;
    private static final long POLL_MILLISECONDS = 250;

    private final ControlTransport mTransport;
    private final MillisecondClock mClock;
    private final CtlEnvironment.Pause mPause;
    private final Consumer<String> mProgress;

    SetPublisher(
            ControlTransport transport,
            MillisecondClock clock,
            CtlEnvironment.Pause pause,
            Consumer<String> progress) {
        mTransport = transport;
        mClock = clock;
        mPause = pause;
        mProgress = progress;
    }

    /**
     * Publishes the set, retrying transient errors until the deadline, and returns its revision.
     */
    Result<Long> publish(
            String publishId, long baseRevision, String yaml, long deadlineMilliseconds) {
        ControlRequest request =
                new ControlRequest(
                        "POST",
                        "/v1/sets",
                        Map.of(
                                "X-Publish-Id",
                                publishId,
                                "X-Base-Revision",
                                Long.toString(baseRevision)),
                        yaml);
        while (true) {
            Result<Long> result = mTransport.send(request).flatMap(SetPublisher::revisionOf);
            boolean retry = result.fold(revision -> false, SetPublisher::isTransient);
            if (!retry || mClock.nowMilliseconds() >= deadlineMilliseconds) {
                return result;
            }
            result.match(revision -> {}, error -> mProgress.accept("retrying: " + error.detail()));
            mPause.forMilliseconds(RETRY_MILLISECONDS);
        }
    }

    /** Returns whether every live router applied the revision before the deadline. */
    boolean waitUntilInForce(long revision, long deadlineMilliseconds) {
        while (true) {
            Result<ControlResponse> status = mTransport.send(ControlRequest.get("/v1/status"));
            long inForce =
                    status.fold(a -> a.json().path("in_force_revision").asLong(), error -> 0L);
            if (inForce >= revision) {
                return true;
            }
            if (mClock.nowMilliseconds() >= deadlineMilliseconds) {
                return false;
            }
            mPause.forMilliseconds(POLL_MILLISECONDS);
        }
    }

    private static Result<Long> revisionOf(ControlResponse response) {
        return response.isSuccess()
                ? Result.success(response.json().path("revision").asLong())
                : Result.failure(response.error());
    }

    private static boolean isTransient(SkylarkError error) {
        return error.kind() == ErrorKind.NO_LEADER
                || error.kind() == ErrorKind.COMMIT_UNKNOWN
                || error.kind() == ErrorKind.CONNECTION_FAILED
                || error.kind() == ErrorKind.STORAGE_FAILED;
    }
}
