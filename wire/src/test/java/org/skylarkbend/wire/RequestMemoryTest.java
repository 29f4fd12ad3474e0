package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;
import static org.skylarkbend.testing.Waits.awaitUntil;

import com.sun.management.ThreadMXBean;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which memory a connection takes for what its peer sends, and when it is decoded. */
public class RequestMemoryTest {
    private static final String HOST = "127.0.0.1";
    private static final long LONG_MILLISECONDS = 60_000;
    private static final long PLENTY_BYTES = 1L << 40;
    private static final int LINES = 2_500;

    /** Requests that arrive with one read. */
    private static final int IN_A_ROW = 100;

    /** Less than the heap that a header takes, so that the entry alone exceeds the characters. */
    private static final long LEAST_HEADER_BYTES = 100;

    /** Short lines take up to 60 times their size, and the server some for the request itself. */
    private static final long MAX_ALLOCATED_PER_BYTE = 100;

    private static final int REPEATED_MESSAGES = 5;
    private static final String FOLDED = "a: " + "x".repeat(8_000) + "\r\n" + " \r\n".repeat(LINES);
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final String REQUEST = "GET /%d HTTP/1.1\r\nHost: server\r\n\r\n";
    private static final String CHUNKED =
            "POST / HTTP/1.1\r\nHost: server\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n";

    private final List<HttpServerRequest> mRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger mClosed = new AtomicInteger();
    private Vertx mVertx;
    private RecordedMemory mMemory;

    @BeforeMethod
    public void start() {
        mVertx = Vertx.vertx();
        mMemory = new RecordedMemory();
        mRequests.clear();
        mClosed.set(0);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void aHeadOfManyShortLinesCountsWithTheHeapThatItsLinesTake() throws Exception {
        RawClient peer = connect(mRequests::add);
        await(peer.send("GET / HTTP/1.1\r\nHost: server\r\n" + "a:\r\n".repeat(LINES)));
        awaitUntil(mVertx, () -> mMemory.mRequestBytes > LINES * LEAST_HEADER_BYTES);
        await(peer.send("\r\n"));
        awaitUntil(mVertx, () -> mRequests.size() == 1);
        assertThat(mMemory.mRequestBytes).isGreaterThan(LINES * LEAST_HEADER_BYTES);
        mRequests.get(0).response().end("done");
        awaitUntil(mVertx, () -> mMemory.mRequestBytes == 0);
    }

    /** Guards against trailer lines that no account counts. */
    @Test
    public void aTrailerSectionCountsWithTheHeapThatItsLinesTake() throws Exception {
        RawClient peer = connect(mRequests::add);
        await(peer.send(CHUNKED + "a:\r\n".repeat(LINES)));
        awaitUntil(mVertx, () -> mMemory.mRequestBytes > LINES * LEAST_HEADER_BYTES);
        await(peer.close());
        awaitUntil(mVertx, () -> mMemory.mReleased);
    }

    /** Guards against a trailer line in parts that counts less than the bytes it keeps. */
    @Test
    public void aFoldedTrailerLineCountsWithItsCharacters() throws Exception {
        RawClient peer = connect(mRequests::add);
        await(peer.send(CHUNKED + "a: b\r\nc: d\r\n"));
        awaitUntil(mVertx, () -> mMemory.mRequestBytes > LEAST_HEADER_BYTES);
        long earlierBytes = mMemory.mRequestBytes;
        await(peer.send(" 123456789\r\n".repeat(LINES / 10) + "e: f"));
        awaitUntil(mVertx, () -> mMemory.mRequestBytes > earlierBytes + LINES);
    }

    /** Guards against a value that is copied once for each line on which it continues. */
    @Test
    public void aHeadOfFoldedLinesAllocatesInProportionToItsSize() throws Exception {
        assertAllocatesInProportion("GET / HTTP/1.1\r\nHost: server\r\n" + FOLDED + "\r\n");
    }

    /** Guards against the same in a trailer section. */
    @Test
    public void aTrailerSectionOfFoldedLinesAllocatesInProportionToItsSize() throws Exception {
        assertAllocatesInProportion(CHUNKED + FOLDED + "\r\n");
    }

    private void assertAllocatesInProportion(String message) throws Exception {
        List<Long> allocatedBytes = new CopyOnWriteArrayList<>();
        RawClient peer =
                connect(
                        request ->
                                request.endHandler(
                                        ignored -> {
                                            allocatedBytes.add(
                                                    THREADS.getCurrentThreadAllocatedBytes());
                                            request.response().end("done;");
                                        }));
        for (int i = 1; i <= REPEATED_MESSAGES; i++) {
            int count = i;
            await(peer.send(message));
            awaitUntil(mVertx, () -> allocatedBytes.size() == count);
        }
        awaitUntil(mVertx, () -> peer.received().endsWith("done;"));
        assertThat(allocatedBytes.get(REPEATED_MESSAGES - 1) - allocatedBytes.get(0))
                .isLessThan(MAX_ALLOCATED_PER_BYTE * message.length() * (REPEATED_MESSAGES - 1));
    }

    @Test
    public void aConnectionWithoutMemoryForALineIsClosed() throws Exception {
        mMemory.mFreeBytes = LINES * LEAST_HEADER_BYTES;
        RawClient peer = connect(mRequests::add);
        peer.send("GET / HTTP/1.1\r\nHost: server\r\n" + "a:\r\n".repeat(LINES));
        awaitUntil(mVertx, peer::isClosed);
        assertThat(mRequests).isEmpty();
        assertThat(mMemory.mReleased).isTrue();
    }

    /** Guards against decoded requests that wait for the responses to earlier ones. */
    @Test
    public void pipelinedRequestsAreDecodedOneByOneAndAnsweredInOrder() throws Exception {
        RawClient peer = connect(mRequests::add);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 50; i++) {
            all.append(String.format(REQUEST, i));
        }
        await(peer.send(all.toString()));
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            int number = i;
            awaitUntil(mVertx, () -> mRequests.size() > number);
            assertThat(mRequests).hasSize(number + 1);
            mRequests.get(i).response().end("<" + i + ">");
            expected.add("<" + i + ">");
        }
        awaitUntil(mVertx, () -> peer.received().contains("<49>"));
        assertThat(peer.received()).containsSubsequence(expected);
        assertThat(mClosed.get()).isZero();
    }

    /** Guards against more requests than the limit on waiting bytes that are lost or cut. */
    @Test
    public void requestsBeyondTheBytesThatMayWaitAreServedInOrder() throws Exception {
        RawClient peer = connect(request -> request.response().end(request.path() + ";"));
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 5_000; i++) {
            all.append(String.format(REQUEST, i));
        }
        await(peer.send(all.toString()));
        awaitUntil(mVertx, () -> peer.received().contains("/4999;"));
        assertThat(peer.received()).containsSubsequence("/0;", "/1;", "/2500;", "/4998;", "/4999;");
        assertThat(peer.received().split("HTTP/1.1 200 OK", -1)).hasSize(5_001);
    }

    /** Guards against a peer whose requests are all served before others are read. */
    @Test
    public void aPeerWithManyRequestsInARowDoesNotKeepOthersWaiting() throws Exception {
        CompletableFuture<Void> othersHaveSent = new CompletableFuture<>();
        List<String> served = new CopyOnWriteArrayList<>();
        int port =
                listen(
                        request -> {
                            othersHaveSent.join();
                            served.add(request.path());
                            request.response().end("done");
                        });
        Vertx peers = Vertx.vertx();
        await(
                await(RawClient.connect(peers, port))
                        .send(String.format(REQUEST, 0).repeat(IN_A_ROW)));
        await(await(RawClient.connect(peers, port)).send(String.format(REQUEST, 1)));
        othersHaveSent.complete(null);
        awaitUntil(mVertx, () -> served.size() == IN_A_ROW + 1);
        await(peers.close());
        assertThat(served.indexOf("/1")).isLessThan(IN_A_ROW / 2);
    }

    /** Guards against a response that is cut for the bytes behind its request. */
    @Test
    public void aResponseIsDeliveredThoughThereIsNoMemoryForTheRequestsBehindIt() throws Exception {
        mMemory.mFreeUndecodedBytes = 0;
        RawClient peer = connect(mRequests::add);
        await(peer.send(String.format(REQUEST, 0) + String.format(REQUEST, 1)));
        awaitUntil(mVertx, () -> mRequests.size() == 1);
        mRequests.get(0).response().end("first");
        awaitUntil(mVertx, peer::isClosed);
        assertThat(peer.received()).endsWith("first");
        assertThat(mRequests).hasSize(1);
    }

    /** Guards against requests that go on for a peer which has left with others behind them. */
    @Test
    public void aPeerThatLeavesWithARequestBehindTheOneInProgressIsNoticed() throws Exception {
        RawClient peer = connect(mRequests::add);
        await(peer.send(String.format(REQUEST, 0) + String.format(REQUEST, 1)));
        awaitUntil(mVertx, () -> mRequests.size() == 1);
        await(peer.close());
        awaitUntil(mVertx, () -> mClosed.get() == 1);
        assertThat(mRequests).hasSize(1);
    }

    private RawClient connect(Consumer<HttpServerRequest> serve) throws Exception {
        return await(RawClient.connect(mVertx, listen(serve)));
    }

    private int listen(Consumer<HttpServerRequest> serve) throws Exception {
        HttpServerOptions options =
                new HttpServerOptions().setHttp2ClearTextEnabled(false).setMaxHeaderSize(16 * 1024);
        RequestDecoder.Limits limits =
                new RequestDecoder.Limits(
                        () -> LONG_MILLISECONDS, () -> LONG_MILLISECONDS, () -> false, mMemory);
        return await(
                RequestDecoder.createServer(
                                mVertx,
                                options,
                                connection -> {
                                    connection.closeHandler(ignored -> mClosed.incrementAndGet());
                                    return limits;
                                },
                                serve::accept)
                        .listen(0, HOST)
                        .map(server -> server.actualPort()));
    }

    /** Memory of one connection that records what is taken. */
    private static final class RecordedMemory implements ReceiveMemory {
        private volatile long mFreeBytes = PLENTY_BYTES;
        private volatile long mFreeUndecodedBytes = PLENTY_BYTES;
        private volatile long mRequestBytes;
        private volatile boolean mReleased;

        @Override
        public void headBegun() {}

        @Override
        public void headComplete() {}

        @Override
        public boolean take(long bytes) {
            mRequestBytes += bytes;
            return mRequestBytes <= mFreeBytes;
        }

        @Override
        public void releaseRequest() {
            mRequestBytes = 0;
        }

        @Override
        public boolean holdUndecoded(long bytes) {
            return bytes <= mFreeUndecodedBytes;
        }

        @Override
        public void releaseAll() {
            mReleased = true;
        }
    }
}
