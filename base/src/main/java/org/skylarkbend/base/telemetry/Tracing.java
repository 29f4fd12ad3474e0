package org.skylarkbend.base.telemetry;

import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.context.propagation.TextMapPropagator;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.Optional;

/** Configures OpenTelemetry to export spans as log lines and, optionally, to a collector. */
public final class Tracing implements AutoCloseable {
    private static final String SCOPE = "org.skylarkbend";

    private final OpenTelemetrySdk mSdk;

    /**
     * Starts tracing for this process.
     *
     * @param program the name of the program, included in each logged span
     * @param collectorUrl the OTLP URL of a collector, if any
     */
    public Tracing(String program, Optional<String> collectorUrl) {
        var provider =
                SdkTracerProvider.builder()
                        .addSpanProcessor(SimpleSpanProcessor.create(new SpanLog(program)));
        collectorUrl.ifPresent(
                url -> {
                    var exporter = OtlpHttpSpanExporter.builder().setEndpoint(url).build();
                    provider.addSpanProcessor(BatchSpanProcessor.builder(exporter).build());
                });
        mSdk =
                OpenTelemetrySdk.builder()
                        .setTracerProvider(provider.build())
                        .setPropagators(
                                ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
                        .build();
    }

    /** Returns the tracer of this process. */
    public Tracer tracer() {
        return mSdk.getTracer(SCOPE);
    }

    /** Returns the propagator for the W3C {@code traceparent} header. */
    public TextMapPropagator propagator() {
        return mSdk.getPropagators().getTextMapPropagator();
    }

    @Override
    public void close() {
        mSdk.close();
    }
}
