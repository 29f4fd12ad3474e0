package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks connections over loopback, including peers that are silent or send invalid data. */
public class FrameConnectionTest {
    private static final String HOST = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 30;
    private static final int MAX_PAYLOAD_BYTES = 1_000;
    private static final int MAX_UNSENT_BYTES = 100_000;
    private static final WireOptions OPTIONS =
            new WireOptions(
                    MAX_PAYLOAD_BYTES,
                    MAX_UNSENT_BYTES,
                    20,
                    60_000,
                    1_000,
                    1_000,
                    Optional.empty());
    private static final WireOptions SHORT_SILENCE_OPTIONS =
            new WireOptions(
                    MAX_PAYLOAD_BYTES, MAX_UNSENT_BYTES, 20, 200, 1_000, 1_000, Optional.empty());

    private Vertx mVertx;

    /** Kept by the test: Vert.x shuts down clients that are no longer referenced. */
    private NetClient mRawClient;

    private FrameDialer<String> mDialer;
    private FrameListener<String> mListener;
    private Promise<String> mReceived;
    private Promise<Void> mClosed;
    private Promise<FrameConnection<String>> mAccepted;
    private volatile Context mContext;
    private int mPort;

    @BeforeMethod
    public void listen() throws Exception {
        mVertx = Vertx.vertx();
        mRawClient = mVertx.createNetClient();
        mDialer = new FrameDialer<>(mVertx, codec(), OPTIONS, MillisecondClock.monotonic());
        mReceived = Promise.promise();
        mClosed = Promise.promise();
        mAccepted = Promise.promise();
        listenWith(OPTIONS);
    }

    @AfterMethod
    public void close() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void aMessageIsReceivedByThePeer() throws Exception {
        await(mDialer.dial(HOST, mPort)).send("hello");
        assertThat(await(mReceived.future())).isEqualTo("hello");
    }

    @Test
    public void aConnectionThatSendsNothingIsClosed() throws Exception {
        listenWith(SHORT_SILENCE_OPTIONS);
        await(rawSocket());
        await(mClosed.future());
    }

    @Test
    public void anOversizedFrameClosesOnlyItsConnection() throws Exception {
        NetSocket socket = await(rawSocket());
        socket.write(Buffer.buffer().appendInt(MAX_PAYLOAD_BYTES + 1));
        await(mClosed.future());
        aMessageIsReceivedByThePeer();
    }

    @Test
    public void aMalformedMessageClosesOnlyItsConnection() throws Exception {
        NetSocket socket = await(rawSocket());
        byte[] malformed = {(byte) 0xc1, 1, 2};
        socket.write(Buffer.buffer(FrameAssembler.frameOf(malformed)));
        await(mClosed.future());
        aMessageIsReceivedByThePeer();
    }

    /** Guards against a process that keeps all that a peer does not read. */
    @Test
    public void aConnectionWhosePeerReadsNothingIsClosedWhenTooManyBytesWait() throws Exception {
        NetSocket peer = await(rawSocket());
        peer.pause();
        Promise<Void> overflowed = Promise.promise();
        FrameConnection<String> connection = await(mAccepted.future());
        byte[] frame = FrameAssembler.frameOf(new byte[MAX_UNSENT_BYTES / 2]);
        mContext.runOnContext(ignored -> sendUntilClosed(connection, frame, overflowed));
        await(overflowed.future());
    }

    @Test
    public void aFrameThatIsLargerThanTheQueueOfTheSocketArrivesWhole() throws Exception {
        NetSocket peer = await(rawSocket());
        Promise<Integer> received = Promise.promise();
        byte[] frame = FrameAssembler.frameOf(new byte[MAX_UNSENT_BYTES * 10]);
        int[] receivedBytes = new int[1];
        peer.handler(
                chunk -> {
                    receivedBytes[0] += chunk.length();
                    if (receivedBytes[0] >= frame.length) {
                        received.tryComplete(receivedBytes[0]);
                    }
                });
        FrameConnection<String> connection = await(mAccepted.future());
        mContext.runOnContext(ignored -> connection.sendFrame(frame));
        assertThat(await(received.future())).isGreaterThanOrEqualTo(frame.length);
    }

    private void sendUntilClosed(
            FrameConnection<String> connection, byte[] frame, Promise<Void> closed) {
        if (mClosed.future().isComplete()) {
            closed.complete();
        } else {
            connection.sendFrame(frame);
            mContext.runOnContext(ignored -> sendUntilClosed(connection, frame, closed));
        }
    }

    private void listenWith(WireOptions options) throws Exception {
        mListener = new FrameListener<>(mVertx, codec(), options, MillisecondClock.monotonic());
        mPort = await(mListener.listen(HOST, 0, this::accept));
    }

    private void accept(FrameConnection<String> connection) {
        connection.onMessage(mReceived::tryComplete);
        connection.onClose(mClosed::tryComplete);
        mContext = mVertx.getOrCreateContext();
        mAccepted.tryComplete(connection);
    }

    private Future<NetSocket> rawSocket() {
        return mRawClient.connect(mPort, HOST);
    }

    private static MessageCodec<String> codec() {
        return new MessageCodec<>() {
            @Override
            public byte[] encode(String message) {
                return new MessageWriter(1).text(message).toBytes();
            }

            @Override
            public Result<String> decode(byte[] payload) {
                return MessageReader.decode(
                        payload,
                        reader -> reader.type() == 1 ? reader.text() : reader.text() + "?");
            }
        };
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
