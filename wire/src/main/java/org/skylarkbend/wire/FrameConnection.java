package org.skylarkbend.wire;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;

/**
 * An open connection that carries the messages of a slice.
 *
 * <p>It is owned by the task that opened or accepted it and must only be used on that task's
 * context. Both sides send heartbeats; the connection is closed if no frame and no large part of
 * one is received, or nothing can be sent, for {@link WireOptions#silenceMilliseconds}.
 *
 * @param <M> the message type of the slice
 */
public final class FrameConnection<M> {
    private static final StructuredLog LOG = StructuredLog.of(FrameConnection.class);
    private static final byte[] HEARTBEAT = FrameAssembler.frameOf(new byte[0]);

    /** The size of the parts in which large frames are given to the socket. */
    private static final int PART_BYTES = 64 * 1024;

    /** Time in which a peer may take what was sent before the connection was closed. */
    private static final long FLUSH_MILLISECONDS = 1_000;

    private final Vertx mVertx;
    private final NetSocket mSocket;
    private final MessageCodec<M> mCodec;
    private final WireOptions mOptions;
    private final MillisecondClock mClock;
    private final FrameAssembler mAssembler;
    private final PeerProgress mProgress;
    private final long mTimerId;
    private final Deque<ByteBuffer> mUnsent = new ArrayDeque<>();
    private long mUnsentBytes;
    private Consumer<M> mOnMessage = message -> {};
    private Runnable mOnClose = () -> {};
    private long mLastWritableMilliseconds;
    private boolean mClosed;

    FrameConnection(
            Vertx vertx,
            NetSocket socket,
            MessageCodec<M> codec,
            WireOptions options,
            MillisecondClock clock) {
        mVertx = vertx;
        mSocket = socket;
        mCodec = codec;
        mOptions = options;
        mClock = clock;
        mAssembler = new FrameAssembler(options.maxPayloadBytes());
        mLastWritableMilliseconds = clock.nowMilliseconds();
        mProgress = new PeerProgress(options.silenceMilliseconds(), mLastWritableMilliseconds);
        mTimerId = vertx.setPeriodic(options.heartbeatMilliseconds(), id -> checkLiveness());
        socket.handler(this::receive);
        socket.exceptionHandler(e -> close());
        socket.closeHandler(ignored -> handleClosed());
        socket.drainHandler(ignored -> drained());
    }

    /** Sets the handler of received messages. */
    public void onMessage(Consumer<M> handler) {
        mOnMessage = handler;
    }

    /** Sets the handler that runs once when either side closes the connection or it fails. */
    public void onClose(Runnable handler) {
        mOnClose = handler;
    }

    /** Sends a message without confirmation of delivery; does nothing once closed. */
    public void send(M message) {
        sendFrame(FrameAssembler.frameOf(mCodec.encode(message)));
    }

    /**
     * Sends a frame, which must not be modified afterwards. The same frame can be sent on several
     * connections without copying it for each.
     */
    public void sendFrame(byte[] frame) {
        if (mClosed) {
            return;
        }
        boolean isFirst = mUnsent.isEmpty();
        if (!isFirst && mUnsentBytes + frame.length > mOptions.maxUnsentBytes()) {
            LOG.warn("wire.unsent.full", "peer", remoteAddress(), "unsent_bytes", mUnsentBytes);
            close();
            return;
        }
        mUnsent.add(ByteBuffer.wrap(frame));
        mUnsentBytes += frame.length;
        sendUnsent();
    }

    /** Returns whether frames wait until the peer has read earlier ones. */
    public boolean isCongested() {
        return !mUnsent.isEmpty() || mSocket.writeQueueFull();
    }

    private void drained() {
        mLastWritableMilliseconds = mClock.nowMilliseconds();
        sendUnsent();
    }

    private void sendUnsent() {
        while (!mUnsent.isEmpty() && !mSocket.writeQueueFull() && !mClosed) {
            ByteBuffer frame = mUnsent.peek();
            byte[] part = new byte[Math.min(PART_BYTES, frame.remaining())];
            frame.get(part);
            mUnsentBytes -= part.length;
            if (!frame.hasRemaining()) {
                mUnsent.poll();
            }
            mSocket.write(Buffer.buffer(part));
        }
    }

    /** Closes the connection and runs the close handler. */
    public void close() {
        if (!mClosed) {
            mSocket.close();
            mVertx.setTimer(FLUSH_MILLISECONDS, id -> abort());
        }
        handleClosed();
    }

    /** Closes the socket without the wait of {@link NetSocket#close} for what is still unsent. */
    private void abort() {
        ((NetSocketInternal) mSocket).channelHandlerContext().close();
    }

    /** Returns the address of the peer. */
    public String remoteAddress() {
        return String.valueOf(mSocket.remoteAddress());
    }

    private void receive(Buffer chunk) {
        mAssembler
                .feed(chunk.getBytes())
                .match(
                        payloads -> {
                            mProgress.received(
                                    chunk.length(), !payloads.isEmpty(), mClock.nowMilliseconds());
                            deliver(payloads);
                        },
                        error -> rejectFrame(error.detail()));
    }

    private void deliver(List<byte[]> payloads) {
        for (byte[] payload : payloads) {
            if (payload.length > 0 && !mClosed) {
                mCodec.decode(payload).match(mOnMessage, error -> rejectFrame(error.detail()));
            }
        }
    }

    private void rejectFrame(String detail) {
        LOG.warn("wire.frame.refused", "peer", remoteAddress(), "detail", detail);
        close();
    }

    private void checkLiveness() {
        long nowMilliseconds = mClock.nowMilliseconds();
        if (!mSocket.writeQueueFull()) {
            mLastWritableMilliseconds = nowMilliseconds;
        }
        if (mProgress.isSilent(nowMilliseconds)) {
            LOG.warn("wire.silent", "peer", remoteAddress());
            close();
        } else if (nowMilliseconds - mLastWritableMilliseconds > mOptions.silenceMilliseconds()) {
            LOG.warn("wire.congested", "peer", remoteAddress());
            close();
        } else {
            sendFrame(HEARTBEAT);
        }
    }

    private void handleClosed() {
        if (!mClosed) {
            mClosed = true;
            mUnsent.clear();
            mUnsentBytes = 0;
            mVertx.cancelTimer(mTimerId);
            mOnClose.run();
        }
    }
}
