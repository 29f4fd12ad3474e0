package org.skylarkbend.wire;

import io.vertx.core.Vertx;
import org.skylarkbend.base.StructuredLog;

/**
 * Ends the process when a task runs into an error after which its state is unknown, so that the
 * process is started again from what it has on disk.
 */
public final class FatalErrors {
    private static final StructuredLog LOG = StructuredLog.of(FatalErrors.class);

    private FatalErrors() {}

    /**
     * Handles what no task has caught. An exception is logged; the task continues with the next
     * message. An {@link Error}, such as exhausted memory, is logged and ends the process.
     *
     * @param vertx the instance that runs the tasks
     * @param endProcess ends the process; it is called after the log is written
     */
    public static void handle(Vertx vertx, Runnable endProcess) {
        vertx.exceptionHandler(
                cause -> {
                    if (cause instanceof Error) {
                        LOG.error(cause, "process.failed", "cause", cause);
                        StructuredLog.shutDown();
                        endProcess.run();
                    } else {
                        LOG.error(cause, "task.exception", "cause", cause);
                    }
                });
    }
}
