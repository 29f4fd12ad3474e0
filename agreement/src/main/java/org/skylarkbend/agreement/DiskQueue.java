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
 * Runs disk work off the event loop, one piece at a time and in order.
 *
 * <p>All persists that gather while one is under way share the next sync. When one fails, all that
 * were handed in by then fail with it, since they build on it.
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

    /** Closes the files behind the work under way. */
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
