package org.skylarkbend.control;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.skylarkbend.agreement.AgreementOptions;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.control.settings.ControlSettings;
import org.skylarkbend.wire.WireOptions;

/**
 * Settings, clocks and shared services of a control process.
 *
 * @param vertx the Vert.x instance that runs the tasks
 * @param settings the settings of the process
 * @param agreement the timeouts and size limits of the replicated log
 * @param wire the limits and TLS keys of connections between processes
 * @param monotonic the clock for leases and timeouts
 * @param wall the clock for the timestamps of log entries
 * @param metrics the metric registry of the process
 * @param tracing the tracer of the process
 */
public record ControlParts(
        Vertx vertx,
        ControlSettings settings,
        AgreementOptions agreement,
        WireOptions wire,
        MillisecondClock monotonic,
        MillisecondClock wall,
        MetricRegistry metrics,
        Tracing tracing) {
    /** Returns the parts of a production process: default options and system clocks. */
    public static ControlParts of(Vertx vertx, ControlSettings settings, Tracing tracing) {
        return new ControlParts(
                vertx,
                settings,
                AgreementOptions.defaults(),
                WireOptions.of(settings.tls()),
                MillisecondClock.monotonic(),
                MillisecondClock.wall(),
                new MetricRegistry(),
                tracing);
    }
}
