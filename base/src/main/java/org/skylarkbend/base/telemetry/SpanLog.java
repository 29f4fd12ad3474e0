package org.skylarkbend.base.telemetry;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import org.skylarkbend.base.StructuredLog;

/** Exports each completed span as a log line with the event {@code span}. */
final class SpanLog implements SpanExporter {
    private static final StructuredLog LOG = StructuredLog.of(SpanLog.class);
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000L;

    private final String mProgram;

    SpanLog(String program) {
        mProgram = program;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(this::write);
        return CompletableResultCode.ofSuccess();
    }

    private void write(SpanData span) {
        long spanNanoseconds = span.getEndEpochNanos() - span.getStartEpochNanos();
        LOG.info(
                "span",
                "trace",
                span.getTraceId(),
                "span",
                span.getSpanId(),
                "parent",
                span.getParentSpanId(),
                "program",
                mProgram,
                "name",
                span.getName(),
                "duration_microseconds",
                spanNanoseconds / NANOSECONDS_PER_MICROSECOND,
                "status",
                span.getStatus().getStatusCode(),
                "attributes",
                span.getAttributes().asMap());
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
