package org.skylarkbend.agreement;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;

/**
 * Runs disk operations outside the event loop, one at a time and in order.
 *
 * <p>Persists that are queued while an operation is in flight share the next sync. If an operation
 * fails, all operations queued by then fail too, because they depend on it. An {@link Error} says
 * nothing about the disk and is thrown on the event loop.
 */
final class DiskQueue {
    private final Vertx mVertx;
    private final AgreementStorage mStorage;
    private final LongConsumer mOnPersisted;
    private final BiConsumer<Long, String> mOnFailed;
    private final Deque<AgreementEffect> mPending = new ArrayDeque<>();
    private long mLastNumber;
    private boolean mBusy;

    DiskQueue(
            Vertx vertx,
            AgreementStorage storage,
            LongConsumer onPersisted,
            BiConsumer<Long, String> onFailed) {
        mVertx = vertx;
        mStorage = storage;
        mOnPersisted = onPersisted;
        mOnFailed = onFailed;
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
        Future<Result<Long>> work = runNext();
        work.onComplete(
                done -> {
                    if (done.cause() instanceof Error error) {
                        throw error;
                    }
                    mBusy = false;
                    Result<Long> result =
                            done.succeeded()
                                    ? done.result()
                                    : Result.failure(
                                            ErrorKind.STORAGE_FAILED, String.valueOf(done.cause()));
                    result.match(mOnPersisted::accept, error -> failAll(error.detail()));
                    startNext();
                });
    }

    private Future<Result<Long>> runNext() {
        if (mPending.peek() instanceof SaveSnapshot save) {
            mPending.poll();
            return mVertx.executeBlocking(() -> mStorage.save(save));
        }
        List<Persist> persists = new ArrayList<>();
        while (mPending.peek() instanceof Persist persist) {
            mPending.poll();
            persists.add(persist);
        }
        return mVertx.executeBlocking(() -> mStorage.persist(persists));
    }

    private void failAll(String detail) {
        mPending.clear();
        mOnFailed.accept(mLastNumber, detail);
    }
}
