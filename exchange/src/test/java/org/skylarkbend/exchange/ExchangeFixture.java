package org.skylarkbend.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Runs a client on a context of its own, with a clock that only the test advances. */
abstract class ExchangeFixture {
    static final String HOST = "127.0.0.1";
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    static final long KEEP_ALIVE_MILLISECONDS = 5_000;
    private static final int MAX_HEAD_BYTES = 1_024;
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 10_000;
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final long POLL_MILLISECONDS = 5;

    protected Vertx mVertx;
    protected Counter mStrayReceptions;
    protected AtomicLong mNowMilliseconds;
    private Context mContext;

    @BeforeMethod
    public void createVertx() {
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mStrayReceptions = new Counter();
        mNowMilliseconds = new AtomicLong();
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    protected EndpointClient client(int maxConnections) throws Exception {
        return client(maxConnections, CONNECT_TIMEOUT_MILLISECONDS, KEEP_ALIVE_MILLISECONDS);
    }

    protected EndpointClient client(
            int maxConnections, long connectTimeoutMilliseconds, long keepAliveMilliseconds)
            throws Exception {
        return onContext(
                () ->
                        new EndpointClient(
                                mVertx,
                                EndpointDialer.direct(mVertx, connectTimeoutMilliseconds),
                                new ExchangeOptions(
                                        maxConnections,
                                        connectTimeoutMilliseconds,
                                        keepAliveMilliseconds,
                                        MAX_HEAD_BYTES),
                                mNowMilliseconds::get,
                                mStrayReceptions));
    }

    /** Starts a server that listens. */
    protected int listen(RawServer server) throws Exception {
        return await(server.listen());
    }

    protected static ExchangeRequest request(int port, HttpMethod method, String uri, Buffer body) {
        return new ExchangeRequest(
                SocketAddress.inetSocketAddress(port, HOST),
                method,
                uri,
                HttpHeaders.headers().add("Host", "endpoint"),
                body);
    }

    protected RecordedExchange start(EndpointClient client, int port, String uri) throws Exception {
        return start(client, request(port, HttpMethod.GET, uri, Buffer.buffer()), event -> {});
    }

    protected RecordedExchange start(
            EndpointClient client, ExchangeRequest request, Consumer<ExchangeEvent> listener)
            throws Exception {
        RecordedExchange recorded = new RecordedExchange(request, listener);
        onContext(
                () -> {
                    client.start(recorded.exchange());
                    return recorded;
                });
        return recorded;
    }

    /** Makes an exchange and waits for its end. */
    protected RecordedExchange exchange(EndpointClient client, int port) throws Exception {
        return await(start(client, port, "/").end());
    }

    /** Runs an action on the context of the client. */
    protected <T> T onContext(Supplier<T> action) throws Exception {
        Promise<T> done = Promise.promise();
        mContext.runOnContext(ignored -> done.complete(action.get()));
        return await(done.future());
    }

    protected void cancel(RecordedExchange recorded) throws Exception {
        onContext(
                () -> {
                    recorded.exchange().cancel();
                    return recorded;
                });
    }

    protected void awaitUntil(BooleanSupplier condition) throws Exception {
        long untilNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(untilNanoseconds);
            await(mVertx.timer(POLL_MILLISECONDS, TimeUnit.MILLISECONDS));
        }
    }

    protected static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
