package org.skylarkbend.gateway.link;

import static org.assertj.core.api.Assertions.assertThatCode;

import com.codahale.metrics.Counter;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.quarantine.CrashEvidence;
import org.testng.annotations.Test;

/** Tests the link to control before it has started. */
public class SiteLinkTaskTest {
    /** Guards against a gateway that sends no reports because the first one came too early. */
    @Test
    public void aReportBeforeTheStartIsLostAndTheReporterIsNotDisturbed() {
        RouterHello hello = new RouterHello(ObjectName.of("front"), ObjectName.of("z"), 1);
        SiteLinkTask link =
                new SiteLinkTask(
                        new SiteLinkDecider(hello, List.of("127.0.0.1"), 1),
                        new IdleSiteListener(),
                        document -> Result.failure(ErrorKind.SET_INVALID, "none"),
                        () ->
                                Future.succeededFuture(
                                        Result.failure(ErrorKind.CONNECTION_FAILED, "none")),
                        MillisecondClock.monotonic(),
                        new Counter());
        assertThatCode(
                        () -> {
                            link.sendWork(new WorkUnderWay(Map.of(), 0));
                            link.sendToLimitOwner(new LimitMessage.TermBegan(1));
                            link.sendCrashEvidence(
                                    new CrashEvidence(List.of(), Map.of(), Map.of()));
                        })
                .doesNotThrowAnyException();
    }
}
