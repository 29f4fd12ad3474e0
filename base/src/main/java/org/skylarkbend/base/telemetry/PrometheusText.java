package org.skylarkbend.base.telemetry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;

/** Formats a Dropwizard registry in the Prometheus text format, version 0.0.4. */
public final class PrometheusText {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private PrometheusText() {}

    /** Returns all metrics of the registry as text. */
    public static String write(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            appendSample(text, entry.getKey(), "", entry.getValue().getCount());
        }
        for (Map.Entry<String, Meter> entry : registry.getMeters().entrySet()) {
            appendSample(text, entry.getKey(), "", entry.getValue().getCount());
        }
        for (Map.Entry<String, ? extends Gauge<?>> entry : gauges(registry).entrySet()) {
            if (entry.getValue().getValue() instanceof Number number) {
                appendSample(text, entry.getKey(), "", number.doubleValue());
            }
        }
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            Histogram histogram = entry.getValue();
            appendSummary(text, entry.getKey(), histogram.getSnapshot(), histogram.getCount(), 1);
        }
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            Timer timer = entry.getValue();
            appendSummary(
                    text,
                    entry.getKey(),
                    timer.getSnapshot(),
                    timer.getCount(),
                    NANOSECONDS_PER_SECOND);
        }
        return text.toString();
    }

    @SuppressWarnings({"rawtypes", "unchecked"})
    private static Map<String, Gauge<?>> gauges(MetricRegistry registry) {
        return (Map) registry.getGauges();
    }

    private static void appendSummary(
            StringBuilder text, String name, Snapshot snapshot, long count, double divisor) {
        appendSample(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / divisor);
        appendSample(text, name, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / divisor);
        appendSample(text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / divisor);
        appendSample(text, name + "_count", "", count);
    }

    private static void appendSample(StringBuilder text, String name, String labels, double value) {
        text.append("skylarkbend_").append(name.replaceAll("[^a-zA-Z0-9_]", "_"));
        text.append(labels).append(' ').append(value).append('\n');
    }
}
