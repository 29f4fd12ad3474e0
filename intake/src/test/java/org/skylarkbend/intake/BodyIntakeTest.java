package org.skylarkbend.intake;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.wire.HeldBytes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the reading of bodies for a listener that fails. */
public class BodyIntakeTest {
    private static final long WAIT_SECONDS = 10;
    private static final long MEMORY_BYTES = 1024 * 1024;
    private static final String BUDGET = "held";

    private final MetricRegistry mMetrics = new MetricRegistry();
    private Vertx mVertx;

    @BeforeMethod
    public void start() {
        mVertx = Vertx.vertx();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a request without an answer when the step after its body throws. */
    @Test
    public void aBodyWhoseListenerThrowsIsRefusedAndReleased() throws Exception {
        int port = LoopbackPorts.next();
        ByteBudget memory = new ByteBudget(BUDGET, MEMORY_BYTES, mMetrics);
        MillisecondClock clock = MillisecondClock.monotonic();
        BodyIntake intake =
                new BodyIntake(
                        mVertx,
                        new CallerMemory(new CallerBudgets(memory, memory, memory), clock),
                        clock);
        int status =
                mVertx.createHttpServer()
                        .requestHandler(request -> read(intake, request))
                        .listen(port, "127.0.0.1")
                        .compose(
                                server ->
                                        mVertx.createHttpClient()
                                                .request(HttpMethod.POST, port, "127.0.0.1", "/"))
                        .compose(request -> request.send("body"))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(WAIT_SECONDS, TimeUnit.SECONDS)
                        .statusCode();
        assertThat(status).isEqualTo(ErrorKind.INTERNAL_NOT_RUN.httpStatus());
        assertThat(mMetrics.counter(BUDGET + "_bytes").getCount()).isZero();
    }

    private static void read(BodyIntake intake, HttpServerRequest request) {
        intake.read(
                "c1",
                request,
                new BodyLimits(
                        MEMORY_BYTES,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        new BodyLimits.Errors(
                                BodyIntake::stepFailed,
                                BodyIntake::stepFailed,
                                BodyIntake::stepFailed)),
                new BodyIntake.Listener() {
                    @Override
                    public void complete(HeldBytes body) {
                        throw new IllegalStateException("planted");
                    }

                    @Override
                    public void refused(SkylarkError error) {
                        request.response().setStatusCode(error.kind().httpStatus()).end();
                    }
                });
    }
}
