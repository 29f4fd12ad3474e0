package org.skylarkbend.base.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests how often a page of metrics is written. */
public class MetricsPageTest {
    /** Guards against readers who keep the task of the calls busy. */
    @Test
    public void aPageIsWrittenOnceASecondHoweverOftenItIsRead() {
        AtomicInteger written = new AtomicInteger();
        AtomicLong nowMilliseconds = new AtomicLong();
        MetricRegistry metrics = new MetricRegistry();
        Gauge<Integer> gauge = written::incrementAndGet;
        metrics.gauge("written", () -> gauge);
        MetricsPage page = new MetricsPage(metrics, nowMilliseconds::get);
        assertThat(page.text()).contains("written 1");
        nowMilliseconds.set(999);
        assertThat(page.text()).contains("written 1");
        nowMilliseconds.set(1_000);
        assertThat(page.text()).contains("written 2");
    }
}
