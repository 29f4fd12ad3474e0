package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an endpoint receives what a caller sent as one request, or nothing, and that requests
 * without end and unread responses end in time.
 */
public class RequestFramingTest {
    private static final long READ_MILLISECONDS = 300;
    private static final long IDLE_MILLISECONDS = 500;
    private static final long DRIP_MILLISECONDS = 20;

    /** Lets the loop of the caller read the response. */
    private static final long FLOOD_MILLISECONDS = 1;

    private static final String HEAD = head("/hours/today");
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String CHUNKS = "4\r\nbody\r\n0\r\n\r\n";
    private static final String SMUGGLED =
            head("/hours/smuggled") + "Connection: close\r\nContent-Length: 0\r\n\r\n";

    /** More than the buffers between a caller and the router can hold. */
    private static final long MAX_SENT_BYTES = 64L * 1024 * 1024;

    private RouterFixture mFixture;
    private FakeEndpoint mEndpoint;

    /** Bytes of a caller: what is sent first, and what is sent again and again. */
    private record Sent(String name, String first, String repeated) {
        Sent(String name, String first) {
            this(name, first, "");
        }

        @Override
        public String toString() {
            return name;
        }
    }

    @BeforeClass
    public void startRouter() {
        mFixture = new RouterFixture(200, 2_000, true, READ_MILLISECONDS, IDLE_MILLISECONDS);
        mEndpoint =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.full(request.attempt(), 200, "done")));
        mFixture.publish();
    }

    @AfterClass(alwaysRun = true)
    public void stopRouter() {
        mFixture.close();
    }

    @BeforeMethod
    public void forgetRequests() {
        mEndpoint.requests().clear();
    }

    @DataProvider
    private Object[] requestsOfUnclearLength() {
        return new Object[] {
            new Sent("a length and chunks", HEAD + "Content-Length: 5\r\n" + CHUNKED + "\r\n"),
            new Sent("chunks and a length", HEAD + CHUNKED + "Content-Length: 5\r\n\r\n"),
            new Sent("two lengths", HEAD + "Content-Length: 0\r\nContent-Length: 4\r\n\r\n"),
            new Sent("a length with a sign", HEAD + "Content-Length: +4\r\n\r\n"),
            new Sent("an unknown coding", HEAD + "Transfer-Encoding: x\r\n\r\n"),
            new Sent("two codings", HEAD + "Transfer-Encoding: chunked, identity\r\n\r\n"),
            new Sent("chunks twice", HEAD + CHUNKED + CHUNKED + "\r\n"),
            new Sent(
                    "chunks in an old version",
                    HEAD.replace("HTTP/1.1", "HTTP/1.0") + CHUNKED + "\r\n"),
            new Sent("a space in front of a colon", HEAD + "Transfer-Encoding : chunked\r\n\r\n"),
            new Sent("bare line feeds", HEAD.replace("\r\n", "\n") + "\n"),
            new Sent("a header without a name", HEAD + ": y\r\n\r\n")
        };
    }

    /** Guards against a second request that no caller sent, or that another one pays for. */
    @Test(dataProvider = "requestsOfUnclearLength")
    public void aRequestOfUnclearLengthIsRefusedAndItsConnectionIsClosed(Sent sent) {
        String received = RawCaller.exchange(mFixture, sent.first() + CHUNKS + SMUGGLED);
        assertThat(received).matches("(?s)HTTP/1\\.[01] 400 .*").doesNotContain(" 200 ");
        assertThat(mEndpoint.requests()).isEmpty();
    }

    @Test
    public void aRequestThatIsCutAtAnyByteReachesNoEndpoint() {
        String whole = HEAD + CHUNKED + "\r\n" + CHUNKS;
        for (int cut = 1; cut < whole.length(); cut++) {
            AtomicReference<NetSocket> caller = new AtomicReference<>();
            CompletableFuture<String> closed =
                    RawCaller.open(mFixture, whole.substring(0, cut), caller);
            RouterFixture.await(caller.get().close());
            RouterFixture.await(closed);
        }
        assertThat(RawCaller.exchange(mFixture, SMUGGLED)).contains(" 200 ", "done");
        assertThat(mEndpoint.requests()).hasSize(1);
    }

    /** Guards against a rest of one request that becomes part of the next. */
    @Test
    public void requestsInOneStreamOfBytesStayApart() {
        String inside = "GET /hours/inside HTTP/1.1\r\nHost: router\r\n\r\n";
        String received =
                RawCaller.exchange(
                        mFixture,
                        (HEAD + "Content-Length: " + inside.length() + "\r\n\r\n" + inside)
                                + (HEAD + CHUNKED + "\r\n" + CHUNKS)
                                + SMUGGLED);
        assertThat(received.split("done", -1)).hasSize(4);
        List<FakeRequest> requests = mEndpoint.requests();
        assertThat(requests).extracting(FakeRequest::body).containsExactly(inside, "body", "");
        assertThat(requests)
                .extracting(FakeRequest::uri)
                .containsExactly("/hours/today", "/hours/today", "/hours/smuggled");
    }

    @DataProvider
    private Object[] endlessRequests() {
        String padding = "x".repeat(16 * 1024);
        String line = "X-More: " + "y".repeat(500) + "\r\n";
        String chunked = HEAD + CHUNKED + "\r\n";
        return new Object[] {
            new Sent("empty lines", "", "\r\n".repeat(1024)),
            new Sent("a request line", "POST /", padding),
            new Sent("a header", HEAD + "X: ", padding),
            new Sent("header lines", HEAD, line),
            new Sent("a chunk extension", chunked + "5;e=", padding),
            new Sent("trailers", chunked + "0\r\n", line),
            new Sent("requests whose responses are not read", "", refused().repeat(100))
        };
    }

    @Test(dataProvider = "endlessRequests")
    public void bytesWithoutEndFromACallerWhoReadsNothingAreGivenUp(Sent sent) {
        AtomicReference<NetSocket> caller = new AtomicReference<>();
        CompletableFuture<String> closed = RawCaller.open(mFixture, sent.first(), caller);
        caller.get().pause();
        AtomicLong sentBytes = repeat(caller.get(), sent.repeated(), 0);
        RouterFixture.await(closed);
        assertThat(sentBytes.get()).isLessThan(MAX_SENT_BYTES);
        assertThat(RawCaller.exchange(mFixture, SMUGGLED)).contains(" 200 ", "done");
    }

    @DataProvider
    private Object[] endlessBodies() {
        String padding = "x".repeat(16 * 1024);
        return new Object[] {
            new Sent("chunks", HEAD + CHUNKED + "\r\n", "4000\r\n" + padding + "\r\n"),
            new Sent("a length", HEAD + "Content-Length: 9223372036854775807\r\n\r\n", padding)
        };
    }

    /** The rest of a refused body is read for a while, but not kept. */
    @Test(dataProvider = "endlessBodies")
    public void aBodyWithoutEndIsRefusedAndItsConnectionIsClosed(Sent sent) {
        AtomicReference<NetSocket> caller = new AtomicReference<>();
        CompletableFuture<String> closed = RawCaller.open(mFixture, sent.first(), caller);
        repeat(caller.get(), sent.repeated(), FLOOD_MILLISECONDS);
        assertThat(RouterFixture.await(closed)).startsWith("HTTP/1.1 413 ");
        assertThat(RawCaller.exchange(mFixture, SMUGGLED)).contains(" 200 ", "done");
    }

    @DataProvider
    private Object[] drippedRequests() {
        String chunked = HEAD + CHUNKED + "\r\n";
        return new Object[] {
            new Sent("empty lines", "", "\r\n"),
            new Sent("a header", HEAD + "X: ", "x"),
            new Sent("a body", HEAD + "Content-Length: 60000\r\n\r\n", "x"),
            new Sent("a chunk extension", chunked + "5;e=", "x"),
            new Sent("trailers", chunked + "0\r\n", "X: y\r\n"),
            new Sent("the head of a second request", refused() + "GET /", "x")
        };
    }

    @Test(dataProvider = "drippedRequests")
    public void aRequestThatIsDrippedIsGivenUpInTime(Sent sent) {
        AtomicReference<NetSocket> caller = new AtomicReference<>();
        CompletableFuture<String> closed = RawCaller.open(mFixture, sent.first(), caller);
        repeat(caller.get(), sent.repeated(), DRIP_MILLISECONDS);
        assertThat(RawCaller.exchange(mFixture, SMUGGLED)).contains(" 200 ", "done");
        RouterFixture.await(closed);
        assertThat(mEndpoint.requests()).hasSize(1);
    }

    private static String refused() {
        return "GET /none HTTP/1.1\r\nHost: router\r\n\r\n";
    }

    private static String head(String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: router\r\n";
    }

    /** Sends the text again and again, and returns the number of bytes that were accepted. */
    private AtomicLong repeat(NetSocket socket, String text, long pauseMilliseconds) {
        AtomicLong sentBytes = new AtomicLong();
        send(socket, text, pauseMilliseconds, sentBytes);
        return sentBytes;
    }

    private void send(NetSocket socket, String text, long pauseMilliseconds, AtomicLong sent) {
        socket.write(text)
                .onSuccess(
                        ignored -> {
                            sent.addAndGet(text.length());
                            if (pauseMilliseconds == 0) {
                                mFixture.vertx().runOnContext(next -> send(socket, text, 0, sent));
                            } else {
                                mFixture.vertx()
                                        .setTimer(
                                                pauseMilliseconds,
                                                id -> send(socket, text, pauseMilliseconds, sent));
                            }
                        });
    }
}
