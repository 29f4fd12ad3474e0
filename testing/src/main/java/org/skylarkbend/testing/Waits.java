package org.skylarkbend.testing;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Lets the thread of a test wait for what happens on event loops. */
public final class Waits {
    private static final long LIMIT_SECONDS = 30;
    private static final long POLL_MILLISECONDS = 5;

    private Waits() {}

    /** Waits until the condition holds; fails after 30 s. It is asked on an event loop. */
    public static void awaitUntil(Vertx vertx, BooleanSupplier condition) throws Exception {
        Promise<Void> reached = Promise.promise();
        long timer =
                vertx.setPeriodic(
                        POLL_MILLISECONDS,
                        id -> {
                            if (condition.getAsBoolean()) {
                                reached.tryComplete();
                            }
                        });
        await(reached.future());
        vertx.cancelTimer(timer);
    }

    /** Waits for a result; fails after 30 s, or with the cause of the failure. */
    public static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
