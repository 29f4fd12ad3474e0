package org.skylarkbend.standin.pressure;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.lang.ref.Cleaner;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link PressureTask} against a server that refuses long requests. */
public class PressureTaskTest {
    private static final long LIMIT_SECONDS = 60;
    private static final int LONG_BYTES = 10_000;

    /** Less than the 30 s that Vert.x gives the connections of a collected client. */
    private static final long SHUTDOWN_SECONDS = 15;

    private Vertx mVertx;
    private HttpServer mServer;

    @BeforeMethod
    public void listen() throws Exception {
        mVertx = Vertx.vertx();
        mServer =
                await(
                        mVertx.createHttpServer()
                                .requestHandler(PressureTaskTest::refuseLongRequests)
                                .listen(0, "127.0.0.1"));
    }

    private static void refuseLongRequests(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            int status = body.length() == LONG_BYTES ? 503 : 200;
                            request.response().setStatusCode(status).end("x");
                        });
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void servedAndRefusedRequestsAreCountedForEachKindOfCaller() throws Exception {
        PressureTask task = task(2, 1, 3);
        await(mVertx.deployVerticle(task));
        PressureReport report = await(task.completion());
        assertThat(report.served("small")).isPositive();
        assertThat(report.refused("small")).isZero();
        assertThat(report.refused("long")).isPositive();
        assertThat(report.served("long")).isZero();
        assertThat(report.served("slow")).isPositive();
        assertThat(report.served("idle")).isEqualTo(5);
        assertThat(report.table(3, "1 kB")).contains("100.0%").contains("peak memory: 1 kB");
    }

    /** Guards against idle connections that are shut down with a client that nothing refers to. */
    @Test
    public void aGarbageCollectionDoesNotEndTheIdleConnections() throws Exception {
        PressureTask task = task(0, 0, 1);
        Vertx callers = Vertx.vertx();
        await(callers.deployVerticle(task));
        await(task.completion());
        collectGarbage();
        collectGarbage();
        long beganNanoseconds = System.nanoTime();
        await(callers.close());
        assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - beganNanoseconds))
                .as("seconds for which a client that is being shut down was waited for")
                .isLessThan(SHUTDOWN_SECONDS);
    }

    /** Returns a task with five idle connections. */
    private PressureTask task(int callersOfEachSize, int slowReaders, int seconds) {
        return new PressureTask(
                new PressurePlan(
                        "http://127.0.0.1:" + mServer.actualPort() + "/x",
                        Map.of("Host", "site.example"),
                        "Id",
                        callersOfEachSize,
                        callersOfEachSize,
                        LONG_BYTES,
                        slowReaders,
                        5,
                        seconds));
    }

    /** Returns after the cleanup of an object that nothing refers to. */
    private static void collectGarbage() throws Exception {
        Promise<Void> cleaned = Promise.promise();
        Cleaner.create().register(new Object(), cleaned::complete);
        System.gc();
        await(cleaned.future());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
