package org.skylarkbend.router.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.skylarkbend.base.ErrorKind;

/** Metrics of the forwarding task. */
public final class ForwardMetrics {
    private final MetricRegistry mRegistry;
    private final Meter mAttempts;
    private final Meter mResumes;
    private final Counter mStrayReceptions;
    private final Timer mQueueWait;
    private final Timer mFirstEvent;
    private final Timer mCalls;

    /** Registers the metrics in the given registry. */
    public ForwardMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mAttempts = registry.meter("forward_attempts");
        mResumes = registry.meter("forward_stream_resumes");
        mStrayReceptions = registry.counter("forward_stray_receptions");
        mQueueWait = registry.timer("forward_queue_wait_seconds");
        mFirstEvent = registry.timer("forward_first_event_seconds");
        mCalls = registry.timer("forward_call_seconds");
        for (ErrorKind kind : ErrorKind.values()) {
            registry.meter(failureName(kind));
        }
    }

    /** Registers the gauge of known prefix cache blocks. */
    public void registerKnownBlocksGauge(java.util.function.IntSupplier knownBlocks) {
        mRegistry.gauge("placement_known_blocks", () -> knownBlocks::getAsInt);
    }

    /** Counts an attempt. */
    public void countAttempt() {
        mAttempts.mark();
    }

    /** Counts a resumed stream. */
    public void countResume() {
        mResumes.mark();
    }

    /** Returns the counter of receptions from endpoints that belong to no response. */
    public Counter strayReceptions() {
        return mStrayReceptions;
    }

    /** Counts a failed call. */
    public void countFailure(ErrorKind kind) {
        mRegistry.meter(failureName(kind)).mark();
    }

    /** Records the time that a call waited in its queue. */
    public void recordQueueWait(long milliseconds) {
        mQueueWait.update(java.time.Duration.ofMillis(milliseconds));
    }

    /** Records the time from a call's arrival to the first event of its response. */
    public void recordFirstEventDelay(long milliseconds) {
        mFirstEvent.update(java.time.Duration.ofMillis(milliseconds));
    }

    /** Records the time from a call's arrival to its end. */
    public void recordCallDuration(long milliseconds) {
        mCalls.update(java.time.Duration.ofMillis(milliseconds));
    }

    private static String failureName(ErrorKind kind) {
        return "forward_failures_" + kind.code();
    }
}
