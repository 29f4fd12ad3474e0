package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.skylarkbend.base.StructuredLog;

/**
 * Decodes the requests on a connection of an HTTP server more strictly than Vert.x does, and one
 * request at a time.
 *
 * <p>A request is decoded once the response to the one before has been sent. Until then the bytes
 * behind it stay undecoded, and beyond a limit unread.
 *
 * <p>A request whose length another server on its way could understand differently is invalid, so
 * that no part of its body can be taken for a request. A connection on which a head stays
 * incomplete, or whose peer reads none of a response, is closed, whatever arrives meanwhile. Bytes
 * behind an invalid request are read up to a limit only.
 */
public final class RequestDecoder extends VertxHttpRequestDecoder {
    private static final StructuredLog LOG = StructuredLog.of(RequestDecoder.class);

    /** Name that Vert.x gives to the decoder in the pipeline of a channel. */
    private static final String HANDLER_NAME = "httpDecoder";

    /** Name that Vert.x gives to the encoder in the pipeline of a channel. */
    private static final String ENCODER_NAME = "httpEncoder";

    /** Bytes behind a request that are read while its response is not sent yet. */
    private static final int MAX_WAITING_BYTES = 16 * 1024;

    /**
     * Bytes behind an invalid request that are read all the same: closing a connection with unread
     * bytes can cost its peer the response to an earlier request.
     */
    private static final int MAX_IGNORED_BYTES = 1024 * 1024;

    /**
     * Time in which a connection is read once more before its head counts as late. If the loop was
     * held up, the rest of the head may wait in the socket.
     */
    private static final long READ_AGAIN_MILLISECONDS = 50;

    private final Limits mLimits;
    private Future<?> mHeadTimer;
    private Future<?> mUnreadTimer;
    private long mUnreadBytes;
    private boolean mHeadSeemsLate;
    private boolean mTracksResponses;
    private boolean mAwaitsResponse;
    private boolean mStoppedReading;
    private boolean mReadingHead;
    private boolean mReadingBody;
    private boolean mInvalid;
    private long mIgnoredBytes;
    private long mHeadBytes;
    private int mUndecodedBytes;

    /**
     * Limits on a connection.
     *
     * @param headMilliseconds returns the time from the first byte of a head to its last one
     * @param unreadMilliseconds returns the time in which the peer must read some bytes of the
     *     responses that wait for it
     * @param isServing returns whether a response is still to be sent; as the rest of the next head
     *     may not be read meanwhile, its time begins anew
     * @param memory memory for heads that are incomplete
     */
    public record Limits(
            LongSupplier headMilliseconds,
            LongSupplier unreadMilliseconds,
            BooleanSupplier isServing,
            HeadMemory memory) {
        /** Creates limits without one on the memory of heads. */
        public Limits(
                LongSupplier headMilliseconds,
                LongSupplier unreadMilliseconds,
                BooleanSupplier isServing) {
            this(headMilliseconds, unreadMilliseconds, isServing, HeadMemory.unlimited());
        }

        /** Returns limits that end a connection on which no response was sent for some time. */
        public static Limits ofIdleMilliseconds(long idleMilliseconds) {
            return new Limits(() -> idleMilliseconds, () -> idleMilliseconds, () -> false);
        }
    }

    /** Memory for the incomplete head on a connection. */
    public interface HeadMemory {
        /**
         * Takes memory for a head of which so many bytes have arrived. Returns false if there is
         * none, after which the connection is closed.
         *
         * @param bytes size of the part that has arrived
         * @param close closes the connection, to free its memory
         */
        boolean hold(long bytes, Runnable close);

        /** Releases the memory, because the head is complete or its connection is closed. */
        void release();

        /** Returns an account without a limit. */
        static HeadMemory unlimited() {
            return new HeadMemory() {
                @Override
                public boolean hold(long bytes, Runnable close) {
                    return true;
                }

                @Override
                public void release() {}
            };
        }
    }

    /** Creates a decoder for one connection of a server with these options. */
    RequestDecoder(HttpServerOptions options, Limits limits) {
        super(options);
        mLimits = limits;
    }

    /**
     * Creates a server whose connections use this decoder, and which leaves out requests behind a
     * refused body. The connection handler and the request handler of the server are taken.
     *
     * @param vertx runs the server
     * @param options options of the server
     * @param limits returns the limits on a connection that a peer has opened
     * @param handler receives the requests
     */
    public static HttpServer createServer(
            Vertx vertx,
            HttpServerOptions options,
            Function<HttpConnection, Limits> limits,
            Handler<HttpServerRequest> handler) {
        return vertx.createHttpServer(options)
                .requestHandler(RefusedBody.leavingOut(handler))
                .connectionHandler(
                        connection ->
                                new RequestDecoder(options, limits.apply(connection))
                                        .install(((ConnectionBase) connection).channel()));
    }

    private void install(Channel channel) {
        channel.pipeline().replace(HANDLER_NAME, HANDLER_NAME, this);
        channel.pipeline()
                .addAfter(
                        ENCODER_NAME,
                        null,
                        new ResponseTracker(() -> responseEnded(channel), () -> mInvalid));
        mTracksResponses = true;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
            throws Exception {
        if (mInvalid) {
            ignore(context, received);
            return;
        }
        if (received.isReadable() && !mReadingBody && mHeadTimer == null) {
            startHeadTimer(context);
        }
        if (isWaiting(context)) {
            if (received.readableBytes() >= MAX_WAITING_BYTES) {
                stopReading(context.channel());
            }
            return;
        }
        if (received.isReadable() && !mReadingBody && !mReadingHead) {
            mReadingHead = true;
            mHeadBytes = 0;
            mUndecodedBytes = 0;
        }
        if (!mReadingBody && !hasMemoryForHead(context, received)) {
            return;
        }
        int earlier = decoded.size();
        super.decode(context, received, decoded);
        mUndecodedBytes = received.readableBytes();
        for (Object part : decoded.subList(earlier, decoded.size())) {
            if (((HttpObject) part).decoderResult().isFailure()) {
                mInvalid = true;
            }
            if (part instanceof HttpRequest) {
                mReadingHead = false;
                mReadingBody = true;
                mAwaitsResponse = mTracksResponses;
                cancelHeadTimer();
            }
            if (part instanceof LastHttpContent) {
                mReadingBody = false;
            }
        }
    }

    /** Returns whether the bytes that have arrived may not be decoded yet. */
    private boolean isWaiting(ChannelHandlerContext context) {
        boolean isBetweenRequests = !mReadingBody && !mReadingHead;
        return isBetweenRequests && (mAwaitsResponse || !context.channel().isWritable());
    }

    private void responseEnded(Channel channel) {
        mAwaitsResponse = false;
        if (!mReadingBody && internalBuffer().isReadable()) {
            restartHeadTimer(channel);
            decodeLater(channel);
        }
    }

    private void stopReading(Channel channel) {
        mStoppedReading = true;
        channel.config().setAutoRead(false);
    }

    /** Decodes what has arrived on a connection that was waiting, and reads on. */
    private void decodeLater(Channel channel) {
        channel.eventLoop()
                .execute(
                        () -> {
                            ChannelHandlerContext context = channel.pipeline().context(this);
                            if (context != null) {
                                decodeWaiting(context);
                            }
                        });
    }

    private void decodeWaiting(ChannelHandlerContext context) {
        if (mStoppedReading) {
            mStoppedReading = false;
            context.channel().config().setAutoRead(true);
        }
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    /**
     * Takes memory for what has arrived of a head before it is decoded: connections that are closed
     * afterwards keep what was decoded until the loop has read all others.
     */
    private boolean hasMemoryForHead(ChannelHandlerContext context, ByteBuf received) {
        mHeadBytes += Math.max(0, received.readableBytes() - mUndecodedBytes);
        if (!mReadingHead || mLimits.memory().hold(mHeadBytes, context::close)) {
            return true;
        }
        LOG.info("request.head.no_memory", "peer", context.channel().remoteAddress());
        mInvalid = true;
        received.skipBytes(received.readableBytes());
        context.close();
        return false;
    }

    /** Discards bytes behind an invalid request; beyond the limit they are left to the socket. */
    private void ignore(ChannelHandlerContext context, ByteBuf received) {
        mIgnoredBytes += received.readableBytes();
        received.skipBytes(received.readableBytes());
        if (mIgnoredBytes > MAX_IGNORED_BYTES) {
            stopReading(context.channel());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (mStoppedReading) {
            // The inherited method reads on until a message is complete.
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        super.channelWritabilityChanged(context);
        if (context.channel().isWritable()) {
            cancelUnreadTimer();
            decodeLater(context.channel());
        } else if (mUnreadTimer == null) {
            startUnreadTimer(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        cancelHeadTimer();
        cancelUnreadTimer();
        super.channelInactive(context);
    }

    /** Called once the head is complete; an exception makes the request invalid. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (message != null) {
            requireClearLength(message);
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static void requireClearLength(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            boolean isChunked =
                    codings.size() == 1
                            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
            boolean hasLength = message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
            if (!isChunked || hasLength || message.protocolVersion() != HttpVersion.HTTP_1_1) {
                throw new IllegalArgumentException("the length of the request is unclear");
            }
        }
        if (message.headers().contains("")) {
            throw new IllegalArgumentException("a header has no name");
        }
    }

    private void startHeadTimer(ChannelHandlerContext context) {
        mHeadSeemsLate = false;
        startHeadTimer(context, mLimits.headMilliseconds().getAsLong());
    }

    private void startHeadTimer(ChannelHandlerContext context, long milliseconds) {
        mHeadTimer =
                context.executor()
                        .schedule(() -> headLate(context), milliseconds, TimeUnit.MILLISECONDS);
    }

    private void restartHeadTimer(Channel channel) {
        if (mHeadTimer != null) {
            cancelHeadTimer();
            startHeadTimer(channel.pipeline().context(this));
        }
    }

    private void headLate(ChannelHandlerContext context) {
        if (mLimits.isServing().getAsBoolean()
                || mAwaitsResponse
                || !context.channel().isWritable()) {
            startHeadTimer(context);
        } else if (!mHeadSeemsLate) {
            mHeadSeemsLate = true;
            startHeadTimer(context, READ_AGAIN_MILLISECONDS);
        } else {
            LOG.info("request.head.late", "peer", context.channel().remoteAddress());
            context.close();
        }
    }

    private void cancelHeadTimer() {
        if (mHeadTimer != null) {
            mHeadTimer.cancel(false);
            mHeadTimer = null;
            mLimits.memory().release();
        }
    }

    private void startUnreadTimer(ChannelHandlerContext context) {
        mUnreadBytes = unreadBytes(context);
        mUnreadTimer =
                context.executor()
                        .schedule(
                                () -> checkUnread(context),
                                mLimits.unreadMilliseconds().getAsLong(),
                                TimeUnit.MILLISECONDS);
    }

    private void checkUnread(ChannelHandlerContext context) {
        if (unreadBytes(context) == mUnreadBytes) {
            LOG.info(
                    "response.unread",
                    "peer",
                    context.channel().remoteAddress(),
                    "unread_bytes",
                    mUnreadBytes);
            context.close();
        } else {
            startUnreadTimer(context);
        }
    }

    /** Returns the bytes that the socket has not taken yet; those of the first part are counted. */
    private static long unreadBytes(ChannelHandlerContext context) {
        ChannelOutboundBuffer waiting = context.channel().unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes() - waiting.currentProgress();
    }

    private void cancelUnreadTimer() {
        if (mUnreadTimer != null) {
            mUnreadTimer.cancel(false);
            mUnreadTimer = null;
        }
    }
}
