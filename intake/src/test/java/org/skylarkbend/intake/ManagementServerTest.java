package org.skylarkbend.intake;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;
import static org.skylarkbend.testing.Waits.awaitUntil;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a server for readiness checks beside peers that misuse it. */
public class ManagementServerTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final int SHORT_LINES = 1_500;
    private static final int LARGE_HEADS = 40;
    private static final String CHECK = "GET /ready HTTP/1.1\r\nHost: check\r\n";

    private Vertx mVertx;
    private MetricRegistry mMetrics;
    private int mPort;

    @BeforeMethod
    public void listen() throws Exception {
        mVertx = Vertx.vertx();
        mMetrics = new MetricRegistry();
        mPort =
                await(
                        ManagementServer.create(
                                        mVertx,
                                        "check",
                                        MAX_CONNECTIONS,
                                        mMetrics,
                                        request -> request.response().end("ready;"))
                                .listen(0, "127.0.0.1")
                                .map(server -> server.actualPort()));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void aCheckIsAnsweredOnAKeptConnection() throws Exception {
        RawClient checker = connect();
        await(checker.send(CHECK + "Content-Length: 0\r\n\r\n"));
        awaitUntil(mVertx, () -> checker.received().endsWith("ready;"));
        await(checker.send(CHECK + "\r\n"));
        awaitUntil(mVertx, () -> checker.received().split("ready;", -1).length == 3);
        assertThat(checker.received()).doesNotContain("close");
    }

    /** Guards against a body without end that is read for ever. */
    @Test
    public void aCheckWithABodyIsAnsweredAndItsConnectionClosed() throws Exception {
        RawClient checker = connect();
        await(checker.send(CHECK + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"));
        awaitUntil(mVertx, checker::isClosed);
        assertThat(checker.received()).contains("200 OK", "ready;");
    }

    /** Guards against peers that keep a check out with connections. */
    @Test
    public void connectionsWithoutARequestGiveWayToACheck() throws Exception {
        for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
            connect();
        }
        RawClient checker = connect();
        await(checker.send(CHECK + "\r\n"));
        awaitUntil(mVertx, () -> checker.received().endsWith("ready;"));
        assertThat(mMetrics.counter("check_connections_closed").getCount()).isPositive();
    }

    /** Guards against memory for lines that is not released with the response. */
    @Test
    public void largeHeadsOneBehindTheOtherAreAllAnswered() throws Exception {
        RawClient checker = connect();
        await(checker.send((CHECK + "a:\r\n".repeat(SHORT_LINES) + "\r\n").repeat(LARGE_HEADS)));
        awaitUntil(mVertx, () -> checker.received().split("ready;", -1).length > LARGE_HEADS);
        awaitUntil(mVertx, () -> mMetrics.counter("check_lines_bytes").getCount() == 0);
    }

    private RawClient connect() throws Exception {
        return await(RawClient.connect(mVertx, mPort));
    }
}
