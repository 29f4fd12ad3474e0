package org.skylarkbend.agreement;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.skylarkbend.agreement.AgreementEffect.CheckDisk;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.agreement.DiskFailures.Kind;
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
    private final DiskFailures mFailures = new DiskFailures();

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
            run(
                    () -> mStorage.check(sizeBytes),
                    ignored -> mOnChecked.accept(true),
                    this::checkFailed);
        } else if (mPending.peek() instanceof SaveSnapshot save) {
            mPending.poll();
            runWrite(Kind.SNAPSHOT, () -> mStorage.save(save));
        } else {
            List<Persist> persists = pollPersists();
            runWrite(Kind.ENTRIES, () -> mStorage.persist(persists));
        }
    }

    private void runWrite(Kind kind, Callable<Result<Long>> write) {
        run(write, number -> succeeded(kind, number), error -> failAll(kind, error));
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

    private void succeeded(Kind kind, long number) {
        mFailures
                .succeeded(kind, mClock.nowMilliseconds())
                .ifPresent(failed -> LOG.info("agreement.disk.recovered", "milliseconds", failed));
        mOnPersisted.accept(number);
    }

    private void checkFailed(SkylarkError error) {
        LOG.debug("agreement.disk.check_failed", "detail", error.detail());
        mOnChecked.accept(false);
    }

    private void failAll(Kind kind, SkylarkError error) {
        if (mFailures.failed(kind, mClock.nowMilliseconds())) {
            LOG.warn("agreement.disk.failed", "detail", error.detail());
        }
        boolean hasCheck = mPending.stream().anyMatch(CheckDisk.class::isInstance);
        mPending.clear();
        mOnFailed.accept(mLastNumber, error);
        if (hasCheck) {
            mOnChecked.accept(false);
        }
    }
}
