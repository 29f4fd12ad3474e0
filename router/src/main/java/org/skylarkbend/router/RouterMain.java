package org.skylarkbend.router;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CountDownLatch;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.base.settings.ProgramSettings;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.wire.FatalErrors;

/** Main class of the program {@code skylark-router}. */
public final class RouterMain {
    private static final StructuredLog LOG = StructuredLog.of(RouterMain.class);
    private static final String PROGRAM = "skylark-router";
    private static final int EXIT_FAILURE = 1;

    private RouterMain() {}

    /** Starts a router and runs it until the process is terminated. */
    public static void main(String[] arguments) {
        ProgramSettings.read(PROGRAM, arguments, RouterSettingsReader::readFile)
                .match(
                        RouterMain::run,
                        error -> {
                            System.err.println(error.detail());
                            System.exit(ProgramSettings.EXIT_USAGE);
                        });
    }

    private static void run(RouterSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(false));
        FatalErrors.handle(vertx, () -> Runtime.getRuntime().halt(EXIT_FAILURE));
        Tracing tracing = new Tracing(PROGRAM, settings.collectorUrl());
        RouterProcess router =
                new RouterProcess(vertx, settings, tracing, MillisecondClock.monotonic());
        router.start()
                .onSuccess(port -> LOG.info("router.started", "vm", settings.vm(), "port", port))
                .onFailure(
                        e -> {
                            LOG.error(e, "router.failed", "vm", settings.vm());
                            System.exit(EXIT_FAILURE);
                        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(router, vertx, tracing)));
    }

    private static void drain(RouterProcess router, Vertx vertx, Tracing tracing) {
        CountDownLatch drained = new CountDownLatch(1);
        LOG.info("router.draining");
        router.drain().onComplete(result -> drained.countDown());
        try {
            drained.await();
            vertx.close().toCompletionStage().toCompletableFuture().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        tracing.close();
        LOG.info("router.ended");
    }
}
