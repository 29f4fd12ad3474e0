package org.skylarkbend.intake;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;
import static org.skylarkbend.testing.Waits.awaitUntil;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.testing.RawClient;
import org.skylarkbend.wire.RequestDecoder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which connection of a caller gives way to a new one. */
public class CallerConnectionsTest {
    private static final int MAX_CONNECTIONS = 2;
    private static final long MEMORY_BYTES = 1_000_000;
    private static final long LONG_MILLISECONDS = 60_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: server\r\n\r\n";

    private final List<HttpServerRequest> mRequests = new CopyOnWriteArrayList<>();
    private MetricRegistry mMetrics;
    private Vertx mVertx;
    private int mPort;

    @BeforeMethod
    public void listen() throws Exception {
        mRequests.clear();
        mMetrics = new MetricRegistry();
        mVertx = Vertx.vertx();
        ByteBudget memory = new ByteBudget("memory", MEMORY_BYTES, mMetrics);
        CallerConnections connections =
                new CallerConnections(
                        "caller",
                        new CallerMemory(
                                new CallerBudgets(memory, memory, memory),
                                MillisecondClock.monotonic()),
                        MAX_CONNECTIONS,
                        connection -> {},
                        mMetrics);
        mPort =
                await(
                        RequestDecoder.createServer(
                                        mVertx,
                                        new HttpServerOptions().setHttp2ClearTextEnabled(false),
                                        connection ->
                                                connections.opened(
                                                        connection,
                                                        () -> LONG_MILLISECONDS,
                                                        () -> LONG_MILLISECONDS),
                                        request -> {
                                            connections.begun(request);
                                            mRequests.add(request);
                                        })
                                .listen(0, "127.0.0.1")
                                .map(server -> server.actualPort()));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void aConnectionThatNeverHadARequestGivesWayBeforeOneThatWasUsed() throws Exception {
        RawClient used = connect();
        serve(used);
        RawClient unused = connect();
        RawClient latest = connect();
        serve(latest);
        awaitUntil(mVertx, unused::isClosed);
        serve(used);
        assertThat(mMetrics.counter("caller_connections_closed").getCount()).isOne();
        assertThat(mMetrics.counter("memory_bytes").getCount()).isZero();
    }

    /** Guards against a request in progress that is cut for a new connection. */
    @Test
    public void aNewConnectionIsClosedIfARequestIsInProgressOnAllOthers() throws Exception {
        RawClient first = connect();
        RawClient second = connect();
        await(first.send(REQUEST));
        await(second.send(REQUEST));
        awaitUntil(mVertx, () -> mRequests.size() == 2);
        RawClient third = connect();
        awaitUntil(mVertx, third::isClosed);
        mRequests.forEach(request -> request.response().end("done"));
        awaitUntil(mVertx, () -> first.received().endsWith("done"));
        awaitUntil(mVertx, () -> second.received().endsWith("done"));
        assertThat(mMetrics.counter("caller_connections_refused").getCount()).isOne();
    }

    private RawClient connect() throws Exception {
        return await(RawClient.connect(mVertx, mPort));
    }

    private void serve(RawClient caller) throws Exception {
        int earlier = mRequests.size();
        int received = caller.received().length();
        await(caller.send(REQUEST));
        awaitUntil(mVertx, () -> mRequests.size() > earlier);
        mRequests.get(earlier).response().end("done");
        awaitUntil(mVertx, () -> caller.received().length() > received);
    }
}
