package org.skylarkbend.intake;

import java.util.function.Consumer;
import org.skylarkbend.base.StructuredLog;

/**
 * Boundary between a request or call and whatever runs its steps: timers, connections, the work of
 * other calls. An exception of a step ends this one call, with an answer to its caller, and nothing
 * else. Confined to the task that serves the calls.
 */
public final class CallBoundary {
    private static final StructuredLog LOG = StructuredLog.of(CallBoundary.class);

    private final String mCallId;
    private final Runnable mOnFailure;

    /**
     * Creates the boundary of a call.
     *
     * @param callId ID that the caller gave to it
     * @param onFailure ends the call after an exception; run once for each
     */
    public CallBoundary(String callId, Runnable onFailure) {
        mCallId = callId;
        mOnFailure = onFailure;
    }

    /** Runs a step of the call. */
    public void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error(e, "call.exception", "id", mCallId, "cause", e);
            mOnFailure.run();
        }
    }

    /** Returns what runs the given step within the boundary. */
    public Runnable around(Runnable step) {
        return () -> run(step);
    }

    /** Returns what hands messages to the given step within the boundary. */
    public <T> Consumer<T> around(Consumer<T> step) {
        return message -> run(() -> step.accept(message));
    }

    /** Runs the steps that end a call, each of them even if the ones before it fail. */
    public void runEach(Runnable... steps) {
        for (Runnable step : steps) {
            try {
                step.run();
            } catch (RuntimeException e) {
                LOG.error(e, "call.exception", "id", mCallId, "cause", e);
            }
        }
    }
}
