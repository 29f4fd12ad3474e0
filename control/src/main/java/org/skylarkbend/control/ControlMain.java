package org.skylarkbend.control;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CountDownLatch;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.base.settings.ProgramSettings;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.control.settings.ControlSettings;
import org.skylarkbend.control.settings.ControlSettingsReader;
import org.skylarkbend.wire.FatalErrors;

/** Entry point of the {@code skylark-control} process. */
public final class ControlMain {
    private static final StructuredLog LOG = StructuredLog.of(ControlMain.class);
    private static final String PROGRAM = "skylark-control";
    private static final int EXIT_FAILURE = 1;

    private ControlMain() {}

    /** Starts a control process, which runs until the JVM shuts down. */
    public static void main(String[] arguments) {
        ProgramSettings.read(PROGRAM, arguments, ControlSettingsReader::readFile)
                .match(
                        ControlMain::run,
                        error -> {
                            System.err.println(error.detail());
                            System.exit(ProgramSettings.EXIT_USAGE);
                        });
    }

    private static void run(ControlSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(false));
        FatalErrors.handle(vertx, () -> Runtime.getRuntime().halt(EXIT_FAILURE));
        Tracing tracing = new Tracing(PROGRAM, settings.traceCollector());
        ControlProcess control = new ControlProcess(ControlParts.of(vertx, settings, tracing));
        control.start()
                .onSuccess(ignored -> stopOnShutdown(control, vertx, tracing))
                .onFailure(
                        e -> {
                            LOG.error(e, "control.failed", "vm", settings.vm());
                            System.exit(EXIT_FAILURE);
                        });
    }

    private static void stopOnShutdown(ControlProcess control, Vertx vertx, Tracing tracing) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(control, vertx, tracing)));
    }

    private static void shutDown(ControlProcess control, Vertx vertx, Tracing tracing) {
        CountDownLatch stopped = new CountDownLatch(1);
        control.stop().onComplete(result -> stopped.countDown());
        try {
            stopped.await();
            vertx.close().toCompletionStage().toCompletableFuture().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        tracing.close();
        LOG.info("control.ended");
    }
}
