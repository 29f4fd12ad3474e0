package org.skylarkbend.base.telemetry;

import com.codahale.metrics.MetricRegistry;
import org.skylarkbend.base.MillisecondClock;

/**
 * Page of metrics for many readers. It is written anew once a second at most, since that takes some
 * milliseconds of the task that also serves the calls. Confined to one task.
 */
public final class MetricsPage {
    private static final long MAX_AGE_MILLISECONDS = 1_000;

    private final MetricRegistry mMetrics;
    private final MillisecondClock mClock;
    private String mText = "";
    private long mValidUntilMilliseconds = Long.MIN_VALUE;

    /**
     * Creates a page.
     *
     * @param metrics registry that it shows
     * @param clock monotonic clock
     */
    public MetricsPage(MetricRegistry metrics, MillisecondClock clock) {
        mMetrics = metrics;
        mClock = clock;
    }

    /** Returns the metrics, as they were a second ago or later, in the Prometheus text format. */
    public String text() {
        long nowMilliseconds = mClock.nowMilliseconds();
        if (nowMilliseconds >= mValidUntilMilliseconds) {
            mText = PrometheusText.write(mMetrics);
            mValidUntilMilliseconds = nowMilliseconds + MAX_AGE_MILLISECONDS;
        }
        return mText;
    }
}
