package org.skylarkbend.control.operator;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.MillisecondClock;

/**
 * Measures the time from the acceptance of a set until it is in force, with a trace span and a
 * metric. Confined to the operator task.
 */
final class PublishSpans {
    private static final int MAX_OPEN_SPANS = 1_000;

    private final Tracer mTracer;
    private final MetricRegistry mMetrics;
    private final MillisecondClock mClock;
    private final TreeMap<Long, OpenSpan> mOpenSpans = new TreeMap<>();

    PublishSpans(Tracer tracer, MetricRegistry metrics, MillisecondClock clock) {
        mTracer = tracer;
        mMetrics = metrics;
        mClock = clock;
    }

    /**
     * Starts the span that ends when the revision is in force. Beyond the maximum number of open
     * spans, the oldest one ends early.
     */
    void accepted(long revision, Context parent) {
        Span span = mTracer.spanBuilder("control.in_force").setParent(parent).startSpan();
        span.setAttribute("revision", revision);
        mOpenSpans.put(revision, new OpenSpan(span, mClock.nowMilliseconds()));
        if (mOpenSpans.size() > MAX_OPEN_SPANS) {
            mOpenSpans.pollFirstEntry().getValue().span().end();
        }
    }

    /** Ends the spans of this revision and of all earlier ones. */
    void inForce(long revision) {
        Map<Long, OpenSpan> reached = mOpenSpans.headMap(revision, true);
        for (OpenSpan open : reached.values()) {
            long tookMilliseconds = mClock.nowMilliseconds() - open.sinceMilliseconds();
            mMetrics.timer("publish_to_in_force").update(tookMilliseconds, TimeUnit.MILLISECONDS);
            open.span().end();
        }
        reached.clear();
    }

    /** A span that has not ended. */
    private record OpenSpan(Span span, long sinceMilliseconds) {}
}
