package org.skylarkbend.agreement;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.skylarkbend.agreement.AgreementEffect.CheckDisk;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;

/**
 * Runs disk operations outside the event loop, one at a time and in order.
 *
 * <p>Persists that are queued while an operation is in flight share the next sync. If an operation
 * fails, all operations queued by then fail too, because they depend on it. An {@link Error} says
 * nothing about the disk and is thrown on the event loop.
 */
final class DiskQueue {
    private static final StructuredLog LOG = StructuredLog.of(DiskQueue.class);

    private final Vertx mVertx;
    private final AgreementStorage mStorage;
    private final MillisecondClock mClock;
    private final LongConsumer mOnPersisted;
    private final BiConsumer<Long, SkylarkError> mOnFailed;
    private final Consumer<Boolean> mOnChecked;
    private final Deque<AgreementEffect> mPending = new ArrayDeque<>();
    private long mLastNumber;
    private boolean mBusy;
    private OptionalLong mFailedAtMilliseconds = OptionalLong.empty();

    DiskQueue(
            Vertx vertx,
            AgreementStorage storage,
            MillisecondClock clock,
            LongConsumer onPersisted,
            BiConsumer<Long, SkylarkError> onFailed,
            Consumer<Boolean> onChecked) {
        mVertx = vertx;
        mStorage = storage;
        mClock = clock;
        mOnPersisted = onPersisted;
        mOnFailed = onFailed;
        mOnChecked = onChecked;
    }

    void add(Persist persist) {
        mLastNumber = persist.number();
        mPending.add(persist);
        startNext();
    }

    void add(SaveSnapshot save) {
        mLastNumber = save.number();
        mPending.add(save);
        startNext();
    }

    void add(CheckDisk check) {
        mPending.add(check);
        startNext();
    }

    /** Drops the queued operations and closes the files after the one in flight. */
    Future<Void> close() {
        mPending.clear();
        return mVertx.executeBlocking(
                () -> {
                    mStorage.close();
                    return null;
                });
    }

    private void startNext() {
        if (mBusy || mPending.isEmpty()) {
            return;
        }
        mBusy = true;
        if (mPending.peek() instanceof CheckDisk check) {
            mPending.poll();
            long sizeBytes = check.sizeBytes();
            run(() -> mStorage.check(sizeBytes), ignored -> checked(), this::checkFailed);
        } else if (mPending.peek() instanceof SaveSnapshot save) {
            mPending.poll();
            run(() -> mStorage.save(save), this::succeeded, this::failAll);
        } else {
            List<Persist> persists = pollPersists();
            run(() -> mStorage.persist(persists), this::succeeded, this::failAll);
        }
    }

    private <T> void run(
            Callable<Result<T>> work, Consumer<T> onSuccess, Consumer<SkylarkError> onFailure) {
        mVertx.executeBlocking(work)
                .onComplete(
                        done -> {
                            if (done.cause() instanceof Error error) {
                                throw error;
                            }
                            mBusy = false;
                            Result<T> result =
                                    done.succeeded()
                                            ? done.result()
                                            : Result.failure(
                                                    ErrorKind.COMMIT_UNKNOWN,
                                                    String.valueOf(done.cause()));
                            result.match(onSuccess, onFailure);
                            startNext();
                        });
    }

    private List<Persist> pollPersists() {
        List<Persist> persists = new ArrayList<>();
        while (mPending.peek() instanceof Persist persist) {
            mPending.poll();
            persists.add(persist);
        }
        return persists;
    }

    private void succeeded(long number) {
        logRecovery();
        mOnPersisted.accept(number);
    }

    private void checked() {
        logRecovery();
        mOnChecked.accept(true);
    }

    private void checkFailed(SkylarkError error) {
        logFailure(error);
        mOnChecked.accept(false);
    }

    private void failAll(SkylarkError error) {
        logFailure(error);
        boolean hasCheck = mPending.stream().anyMatch(CheckDisk.class::isInstance);
        mPending.clear();
        mOnFailed.accept(mLastNumber, error);
        if (hasCheck) {
            mOnChecked.accept(false);
        }
    }

    private void logRecovery() {
        mFailedAtMilliseconds.ifPresent(
                failedAt ->
                        LOG.info(
                                "agreement.disk.recovered",
                                "milliseconds",
                                mClock.nowMilliseconds() - failedAt));
        mFailedAtMilliseconds = OptionalLong.empty();
    }

    private void logFailure(SkylarkError error) {
        if (mFailedAtMilliseconds.isEmpty()) {
            LOG.warn("agreement.disk.failed", "detail", error.detail());
            mFailedAtMilliseconds = OptionalLong.of(mClock.nowMilliseconds());
        }
    }
}
