package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.gateway.CapturingEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.EndlessRequest;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests callers that send bytes without end, at full speed or by drips: the connection is closed in
 * time, the gateway keeps a bounded number of bytes, and other calls go on.
 */
public class HostileCallerTest extends GatewayFixture {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long HEADER_MILLISECONDS = 500;
    private static final long IDLE_MILLISECONDS = 1_000;
    private static final long TIMEOUT_MILLISECONDS = 1_000;

    /** Less than the idle time, so that the connection is never idle. */
    private static final long DRIP_MILLISECONDS = 50;

    /** Lets the loop of the caller read the response. */
    private static final long FLOOD_MILLISECONDS = 1;

    /** More than the buffers between a caller and the gateway can hold. */
    private static final long MAX_SENT_BYTES = 64L * 1024 * 1024;

    private static final String HEAD =
            "POST /x/y HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\n"
                    + "Call-Id: hostile\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private CapturingEndpoint mEndpoint;

    @Override
    protected CallerLimits callerLimits() {
        return new CallerLimits(16 * 1024, MAX_BODY_BYTES, HEADER_MILLISECONDS, IDLE_MILLISECONDS);
    }

    @BeforeMethod
    public void publishEndpoint() throws Exception {
        mEndpoint = new CapturingEndpoint();
        await(mEndpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), mEndpoint.listed());
        assertThat(call("first").status()).isEqualTo(200);
    }

    @DataProvider
    private Object[] endlessRequests() {
        String padding = "x".repeat(16 * 1024);
        String line = "X-More: " + "y".repeat(500) + "\r\n";
        return new Object[] {
            new EndlessRequest("empty lines in front of a request", "", "\r\n".repeat(1024)),
            new EndlessRequest("a request line without end", "POST /", padding),
            new EndlessRequest("a header without end", HEAD + "X: ", padding),
            new EndlessRequest("a header name without end", HEAD, padding),
            new EndlessRequest("header lines without end", HEAD, line),
            new EndlessRequest(
                    "a folded header without end", HEAD + "X: y\r\n", " z\r\n".repeat(1024)),
            new EndlessRequest("a chunk size without end", CHUNKED, "0".repeat(1024)),
            new EndlessRequest("a chunk extension without end", CHUNKED + "5;e=", padding),
            new EndlessRequest("trailers without end", CHUNKED + "0\r\n", line),
            new EndlessRequest(
                    "a body beyond its length", HEAD + "Content-Length: 4\r\n\r\n", padding)
        };
    }

    @Test(dataProvider = "endlessRequests")
    public void aRequestWithoutEndIsGivenUpWhileOthersAreServed(EndlessRequest endless)
            throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(endless.first()));
        caller.repeat(endless.repeated(), 0);
        awaitUntil(caller::isClosed);
        assertThat(caller.sentBytes()).isLessThan(MAX_SENT_BYTES);
        assertThat(call("other").status()).isEqualTo(200);
        awaitUntil(() -> heldBytes() == 0);
    }

    @DataProvider
    private Object[] endlessBodies() {
        String padding = "x".repeat(16 * 1024);
        return new Object[] {
            new EndlessRequest("chunks", CHUNKED, "4000\r\n" + padding + "\r\n"),
            new EndlessRequest(
                    "a length beyond all bodies",
                    HEAD + "Content-Length: 9223372036854775807\r\n\r\n",
                    padding)
        };
    }

    /** The rest of a refused body is read for a while, but not kept. */
    @Test(dataProvider = "endlessBodies")
    public void aBodyWithoutEndIsRefusedAndNotKept(EndlessRequest endless) throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(endless.first()));
        caller.repeat(endless.repeated(), FLOOD_MILLISECONDS);
        assertThat(call("other").status()).isEqualTo(200);
        awaitUntil(
                () -> {
                    assertThat(heldBytes()).isLessThanOrEqualTo(MAX_BODY_BYTES);
                    return caller.isClosed();
                });
        assertThat(caller.received()).startsWith("HTTP/1.1 413 ");
        awaitUntil(() -> heldBytes() == 0);
    }

    @DataProvider
    private Object[] drippedRequests() {
        return new Object[] {
            new EndlessRequest("empty lines in front of a request", "", "\r\n"),
            new EndlessRequest("a request line", "POST /", "x"),
            new EndlessRequest("a header", HEAD + "X: ", "x"),
            new EndlessRequest("a body", HEAD + "Content-Length: 60000\r\n\r\n", "x"),
            new EndlessRequest("chunks", CHUNKED, "1\r\nx\r\n"),
            new EndlessRequest("the size of a chunk", CHUNKED, "0"),
            new EndlessRequest("a chunk extension", CHUNKED + "5;e=", "x"),
            new EndlessRequest("trailers", CHUNKED + "0\r\n", "X: y\r\n"),
            new EndlessRequest(
                    "a body without a key",
                    HEAD.replace("secret", "unknown") + "Content-Length: 60000\r\n\r\n",
                    "x")
        };
    }

    /** Guards against callers that keep a connection and its memory with a byte now and then. */
    @Test(dataProvider = "drippedRequests")
    public void aRequestThatIsDrippedIsGivenUpInTimeWhileOthersAreServed(EndlessRequest endless)
            throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(endless.first()));
        caller.repeat(endless.repeated(), DRIP_MILLISECONDS);
        assertThat(call("other").status()).isEqualTo(200);
        awaitUntil(caller::isClosed);
        awaitUntil(() -> heldBytes() == 0);
        assertThat(mEndpoint.requests()).noneMatch(request -> request.contains("hostile"));
    }

    /** Guards against a limit on heads that counts the time of the response before. */
    @Test
    public void aHeadThatArrivesInPartsBehindARequestInProgressIsServed() throws Exception {
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        String request = HEAD + "Content-Length: 4\r\n\r\nbody";
        await(caller.send(request + request.substring(0, 10)));
        awaitUntil(() -> caller.received().split("done", -1).length == 2);
        await(caller.send(request.substring(10)));
        awaitUntil(() -> caller.received().split("done", -1).length == 3);
    }

    /** Guards against the memory of heads whose callers have left. */
    @Test
    public void aHeadThatStaysIncompleteTakesNoMemoryOnceItsCallerHasLeft() throws Exception {
        for (String part : new String[] {HEAD + "X: y", HEAD, "POST"}) {
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), mPort)) {
                caller.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                awaitUntil(() -> headBytes() > 0);
            }
            awaitUntil(() -> headBytes() == 0);
        }
        assertThat(call("other").status()).isEqualTo(200);
    }

    private long headBytes() {
        return mMetrics.counter("gateway_heads_bytes").getCount()
                + mMetrics.counter("gateway_undecoded_bytes").getCount();
    }

    private long heldBytes() {
        return mMetrics.counter("gateway_held_bytes").getCount();
    }
}
