package org.skylarkbend.control.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;
import static org.skylarkbend.testing.Waits.awaitUntil;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.LogStatus;
import org.skylarkbend.control.settings.ControlSettings;
import org.skylarkbend.control.settings.ControlVm;
import org.skylarkbend.control.settings.OperatorCredential;
import org.skylarkbend.testing.EndlessRequest;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests clients of the operator API that drip, stay silent, send without end or read nothing: their
 * connections are closed in time, and others are served.
 */
public class HostileOperatorTest {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_SET_BYTES = 100_000;
    private static final String CREDENTIAL = "sk-operator";
    private static final long IDLE_MILLISECONDS = 500;

    /** Longer than a test waits. */
    private static final long AMPLE_MILLISECONDS = 60_000;

    private static final long DRIP_MILLISECONDS = 20;

    /** Lets the loop of the clients, which they share, serve the sound one too. */
    private static final long FLOOD_MILLISECONDS = 1;

    private static final String PUT =
            "POST /v1/sets HTTP/1.1\r\nHost: control\r\nX-Publish-Id: p1\r\n"
                    + "X-Base-Revision: 0\r\nAuthorization: Bearer "
                    + CREDENTIAL
                    + "\r\n";
    private static final String CHUNKED = PUT + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String GET = "GET /healthz HTTP/1.1\r\nHost: control\r\n\r\n";

    /** More than the buffers between a client and the server can hold. */
    private static final long MAX_SENT_BYTES = 64L * 1024 * 1024;

    private Vertx mVertx;

    private int mPort;

    /** The first request loads classes, which can take longer than a connection may be idle. */
    @BeforeClass
    public void serveOnce() throws Exception {
        mVertx = Vertx.vertx();
        listen(AMPLE_MILLISECONDS);
        assertServes();
        await(mVertx.close());
    }

    @BeforeMethod
    public void start() throws Exception {
        mVertx = Vertx.vertx();
        listen(IDLE_MILLISECONDS);
    }

    private void listen(long idleMilliseconds) throws Exception {
        OperatorTask task =
                new OperatorTask(
                        new OperatorTask.Parts(
                                settings(),
                                0,
                                idleMilliseconds,
                                new NoLog(),
                                () -> Future.failedFuture("no feed"),
                                MillisecondClock.monotonic(),
                                MillisecondClock.wall(),
                                new MetricRegistry(),
                                new Tracing("test", Optional.empty())));
        await(mVertx.deployVerticle(task));
        mPort = task.port();
    }

    private static ControlSettings settings() {
        ObjectName vm = ObjectName.of("control-0");
        return new ControlSettings(
                vm,
                ObjectName.of("thies-a"),
                Path.of("unused"),
                List.of(new ControlVm(vm, HOST, 1, 2, 3)),
                List.of(new OperatorCredential(ObjectName.of("desk"), Sha256.hexOf(CREDENTIAL))),
                1_000,
                MAX_SET_BYTES,
                Optional.empty(),
                false,
                Optional.empty());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        await(mVertx.close());
    }

    @DataProvider
    private Object[] drips() {
        return new Object[] {
            new EndlessRequest("nothing", "", ""),
            new EndlessRequest("a request line", "GET /", "x"),
            new EndlessRequest("a header", PUT + "X: ", "x"),
            new EndlessRequest("a body", PUT + "Content-Length: 60000\r\n\r\n", "x"),
            new EndlessRequest("chunks", CHUNKED, "1\r\nx\r\n"),
            new EndlessRequest("a chunk extension", CHUNKED + "5;e=", "x"),
            new EndlessRequest("trailers", CHUNKED + "0\r\n", "X: y\r\n")
        };
    }

    /** Guards against clients that hold connections and memory with a byte now and then. */
    @Test(dataProvider = "drips")
    public void aRequestThatIsDrippedIsGivenUpAndOthersAreServed(EndlessRequest endless)
            throws Exception {
        RawClient peer = connect();
        peer.send(endless.first());
        if (!endless.repeated().isEmpty()) {
            peer.repeat(endless.repeated(), DRIP_MILLISECONDS);
        }
        assertServes();
        awaitUntil(mVertx, peer::isClosed);
    }

    @DataProvider
    private Object[] floods() {
        String padding = "x".repeat(16 * 1024);
        String line = "X-More: " + "y".repeat(500) + "\r\n";
        return new Object[] {
            new EndlessRequest("a request line", "GET /", padding),
            new EndlessRequest("header lines", PUT, line),
            new EndlessRequest("a chunk extension", CHUNKED + "5;e=", padding),
            new EndlessRequest("trailers", CHUNKED + "0\r\n", line),
            new EndlessRequest("a body", PUT + "Content-Length: 99999999999\r\n\r\n", padding),
            new EndlessRequest("requests", "", GET.repeat(100))
        };
    }

    /** Guards against bytes without end, and against responses kept for a peer who reads none. */
    @Test(dataProvider = "floods")
    public void bytesWithoutEndFromAPeerThatReadsNothingAreGivenUp(EndlessRequest endless)
            throws Exception {
        RawClient peer = connect();
        peer.pause();
        peer.send(endless.first());
        peer.repeat(endless.repeated(), FLOOD_MILLISECONDS);
        assertServes();
        awaitUntil(mVertx, peer::isClosed);
        assertThat(peer.sentBytes()).isLessThan(MAX_SENT_BYTES);
    }

    /** Guards against a refused body that is read as long as it comes. */
    @Test
    public void theRestOfARefusedBodyIsNotReadForLong() throws Exception {
        listen(AMPLE_MILLISECONDS);
        RawClient peer = connect();
        peer.send(PUT + "Content-Length: 99999999999\r\n\r\n");
        peer.repeat("x".repeat(16 * 1024), FLOOD_MILLISECONDS);
        awaitUntil(mVertx, peer::isClosed);
        assertThat(peer.received()).startsWith("HTTP/1.1 413 ");
    }

    @Test
    public void aRequestWithALengthAndChunksIsRefused() throws Exception {
        RawClient peer = connect();
        peer.send(CHUNKED.replace("Host", "Content-Length: 5\r\nHost") + "0\r\n\r\n" + GET);
        awaitUntil(mVertx, peer::isClosed);
        assertThat(peer.received()).startsWith("HTTP/1.1 431 ").doesNotContain(" 200 ");
    }

    /** Guards against a set that is published with replaced bytes. */
    @Test
    public void aSetThatIsNoTextIsRefusedWithThePlaceOfTheFirstBadByte() throws Exception {
        RawClient peer = connect();
        peer.send(PUT + "Content-Length: 8\r\n\r\nrates: \u00ff");
        awaitUntil(mVertx, () -> peer.received().contains("offset"));
        assertThat(peer.received()).startsWith("HTTP/1.1 400 ").contains("at offset 7");
    }

    private void assertServes() throws Exception {
        RawClient sound = connect();
        sound.send(GET);
        awaitUntil(mVertx, () -> sound.isClosed() || sound.received().contains("\r\n\r\n"));
        assertThat(sound.received()).contains(" 200 ");
    }

    private RawClient connect() throws Exception {
        return await(RawClient.connect(mVertx, mPort));
    }

    private static final class NoLog implements ControlLog {
        @Override
        public Future<Result<byte[]>> propose(ControlEntry entry) {
            return Future.succeededFuture(Result.failure(ErrorKind.NO_LEADER, "no log"));
        }

        @Override
        public Future<Result<Long>> confirmLeadership() {
            return Future.succeededFuture(Result.failure(ErrorKind.NO_LEADER, "no log"));
        }

        @Override
        public Future<LogStatus> status() {
            return Future.failedFuture("no log");
        }
    }
}
