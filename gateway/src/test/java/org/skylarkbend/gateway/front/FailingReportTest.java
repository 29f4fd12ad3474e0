package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.testng.annotations.Test;

/** Tests a gateway of which one report fails. */
public class FailingReportTest extends GatewayFixture {
    private final AtomicInteger mReports = new AtomicInteger();

    @Override
    protected void workReported(WorkUnderWay work) {
        if (mReports.incrementAndGet() == 1) {
            throw new IllegalStateException("planted");
        }
    }

    /** Guards against a gateway that reports nothing any more after one report has failed. */
    @Test
    public void laterReportsFollowOneThatFailed() throws Exception {
        awaitUntil(() -> mReports.get() >= 3);
        assertThat(mReports.get()).isGreaterThanOrEqualTo(3);
    }
}
