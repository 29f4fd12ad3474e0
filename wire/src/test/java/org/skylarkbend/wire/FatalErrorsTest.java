package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link FatalErrors}. */
public class FatalErrorsTest {
    private static final long LIMIT_SECONDS = 60;

    private Vertx mVertx;
    private CountDownLatch mEnded;

    @BeforeMethod
    public void start() {
        mVertx = Vertx.vertx();
        mEnded = new CountDownLatch(1);
        FatalErrors.handle(mVertx, mEnded::countDown);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    public void anErrorInATaskEndsTheProcess() throws Exception {
        mVertx.runOnContext(
                ignored -> {
                    throw new AssertionError("planted");
                });
        assertThat(mEnded.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    public void anErrorThrownByTheHandlerOfAResultEndsTheProcess() throws Exception {
        mVertx.runOnContext(ignored -> blocking().onComplete(done -> rethrow(done.cause())));
        assertThat(mEnded.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    public void anExceptionInATaskDoesNotEndTheProcess() throws Exception {
        CountDownLatch next = new CountDownLatch(1);
        mVertx.runOnContext(
                ignored -> {
                    mVertx.runOnContext(again -> next.countDown());
                    throw new IllegalStateException("planted");
                });
        assertThat(next.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(mEnded.getCount()).isEqualTo(1);
    }

    private Future<Void> blocking() {
        return mVertx.executeBlocking(
                () -> {
                    throw new OutOfMemoryError("planted");
                });
    }

    private static void rethrow(Throwable cause) {
        throw (Error) cause;
    }
}
