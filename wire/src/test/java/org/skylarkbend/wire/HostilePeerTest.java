package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;
import static org.skylarkbend.testing.Waits.awaitUntil;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests peers that break off inside a frame, send invalid frames, drip bytes or read nothing: their
 * connections are closed in time, and no message is made from what they sent.
 */
public class HostilePeerTest {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_PAYLOAD_BYTES = 1_000_000;
    private static final long SILENCE_MILLISECONDS = 400;
    private static final long AMPLE_MILLISECONDS = 60_000;
    private static final long DRIP_MILLISECONDS = 20;
    private static final int SMALL_BUFFER_BYTES = 4_096;
    private static final byte[] HEARTBEAT = FrameAssembler.frameOf(new byte[0]);

    private Vertx mVertx;

    /** Kept, since a client that is garbage closes its connections. */
    private NetClient mClient;

    private List<String> mReceived;
    private AtomicInteger mClosed;
    private Promise<FrameConnection<String>> mAccepted;
    private volatile Context mContext;

    @BeforeMethod
    public void start() {
        mVertx = Vertx.vertx();
        mClient = mVertx.createNetClient();
        mReceived = new CopyOnWriteArrayList<>();
        mClosed = new AtomicInteger();
        mAccepted = Promise.promise();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        await(mVertx.close());
    }

    /** Guards against a message that is made from parts of two connections. */
    @Test
    public void aFrameThatIsCutAtAnyByteIsNoMessageAndItsRestIsNoneEither() throws Exception {
        int port = listen(AMPLE_MILLISECONDS);
        byte[] frame = frameOf("a message that is cut");
        for (int cut = 1; cut < frame.length; cut++) {
            NetSocket first = await(connect(port));
            await(first.write(Buffer.buffer(Arrays.copyOf(frame, cut))));
            await(first.close());
            NetSocket second = await(connect(port));
            await(second.write(Buffer.buffer(Arrays.copyOfRange(frame, cut, frame.length))));
            await(second.close());
        }
        int cuts = frame.length - 1;
        awaitUntil(mVertx, () -> mClosed.get() == 2 * cuts);
        NetSocket sound = await(connect(port));
        await(sound.write(Buffer.buffer(frame)));
        awaitUntil(mVertx, () -> !mReceived.isEmpty());
        assertThat(mReceived).containsExactly("a message that is cut");
    }

    @DataProvider
    private Object[][] invalidBytes() {
        return new Object[][] {
            {"a length of -1", intBytes(-1)},
            {"the least length", intBytes(Integer.MIN_VALUE)},
            {"the greatest length", intBytes(Integer.MAX_VALUE)},
            {"one byte too many", intBytes(MAX_PAYLOAD_BYTES + 1)},
            {"text in front", "GET / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII)},
            {"a payload that is no message", FrameAssembler.frameOf(new byte[] {-63, 1, 2})}
        };
    }

    @Test(dataProvider = "invalidBytes")
    public void afterInvalidBytesTheConnectionIsClosedAndNoLaterFrameCounts(
            String name, byte[] invalid) throws Exception {
        int port = listen(AMPLE_MILLISECONDS);
        NetSocket peer = await(connect(port));
        peer.write(Buffer.buffer(invalid).appendBytes(frameOf("too late")));
        awaitUntil(mVertx, () -> mClosed.get() == 1);
        assertThat(mReceived).isEmpty();
    }

    @DataProvider
    private Object[][] drips() {
        return new Object[][] {
            {"a length", new byte[0]},
            {"a payload", intBytes(MAX_PAYLOAD_BYTES)},
            {"a payload behind a message", withFrame(intBytes(MAX_PAYLOAD_BYTES))}
        };
    }

    /** Guards against a peer that keeps a connection alive with parts of a frame. */
    @Test(dataProvider = "drips")
    public void aPeerThatDripsAFrameIsClosed(String name, byte[] first) throws Exception {
        int port = listen(SILENCE_MILLISECONDS);
        NetSocket peer = await(connect(port));
        peer.exceptionHandler(e -> {});
        peer.write(Buffer.buffer(first));
        byte[] length = intBytes(MAX_PAYLOAD_BYTES);
        AtomicInteger sent = new AtomicInteger();
        mVertx.setPeriodic(
                DRIP_MILLISECONDS,
                id -> {
                    int index = sent.getAndIncrement();
                    byte next = first.length == 0 && index < 4 ? length[index] : 1;
                    peer.write(Buffer.buffer(new byte[] {next}));
                });
        awaitUntil(mVertx, () -> mClosed.get() == 1);
    }

    /** Guards against a peer that sends heartbeats and reads nothing. */
    @Test
    public void aPeerThatReadsNothingIsClosedAlthoughItSends() throws Exception {
        int port = listen(SILENCE_MILLISECONDS);
        NetSocket peer = await(connect(port));
        AtomicInteger ended = new AtomicInteger();
        peer.exceptionHandler(e -> {});
        peer.closeHandler(ignored -> ended.incrementAndGet());
        peer.pause();
        mVertx.setPeriodic(DRIP_MILLISECONDS, id -> peer.write(Buffer.buffer(HEARTBEAT)));
        FrameConnection<String> connection = await(mAccepted.future());
        byte[] frame = new byte[32 * 1024 * 1024];
        mContext.runOnContext(ignored -> connection.sendFrame(frame));
        awaitUntil(mVertx, () -> mClosed.get() == 1 && ended.get() == 1);
    }

    /** Guards against a connection that stays open until its peer reads what was sent before. */
    @Test
    public void aPeerWithoutRoomForWhatWasSentIsClosedAlthoughItSends() throws Exception {
        int port = listen(SILENCE_MILLISECONDS);
        try (Socket peer = new Socket()) {
            peer.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            peer.connect(new InetSocketAddress(HOST, port));
            FrameConnection<String> connection = await(mAccepted.future());
            byte[] frame = new byte[32 * 1024 * 1024];
            mContext.runOnContext(ignored -> connection.sendFrame(frame));
            awaitUntil(mVertx, () -> mClosed.get() == 1);
            awaitUntil(mVertx, () -> !isOpen(peer));
        }
    }

    private static boolean isOpen(Socket peer) {
        try {
            peer.getOutputStream().write(HEARTBEAT);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private int listen(long silenceMilliseconds) throws Exception {
        WireOptions options =
                new WireOptions(
                        MAX_PAYLOAD_BYTES,
                        MAX_PAYLOAD_BYTES,
                        20,
                        silenceMilliseconds,
                        1_000,
                        1_000,
                        Optional.empty());
        FrameListener<String> listener =
                new FrameListener<>(mVertx, new TextCodec(), options, MillisecondClock.monotonic());
        return await(listener.listen(HOST, 0, this::accept));
    }

    private void accept(FrameConnection<String> connection) {
        connection.onMessage(mReceived::add);
        connection.onClose(mClosed::incrementAndGet);
        mContext = mVertx.getOrCreateContext();
        mAccepted.tryComplete(connection);
    }

    private Future<NetSocket> connect(int port) {
        return mClient.connect(port, HOST);
    }

    private static byte[] frameOf(String message) {
        return FrameAssembler.frameOf(new TextCodec().encode(message));
    }

    private static byte[] intBytes(int value) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(value).array();
    }

    private static byte[] withFrame(byte[] rest) {
        return Buffer.buffer(frameOf("whole")).appendBytes(rest).getBytes();
    }

    /** Encodes texts. */
    private static final class TextCodec implements MessageCodec<String> {
        @Override
        public byte[] encode(String message) {
            return new MessageWriter(1).text(message).toBytes();
        }

        @Override
        public Result<String> decode(byte[] payload) {
            return MessageReader.decode(
                    payload, reader -> reader.type() == 1 ? reader.text() : reader.text() + "?");
        }
    }
}
