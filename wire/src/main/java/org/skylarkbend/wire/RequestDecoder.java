package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
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
 * behind it stay undecoded, and beyond a limit unread. Memory is taken before a line of a head or
 * of a trailer section is decoded; without memory the connection is closed.
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

    /** Size of the buffer for one read of a connection. */
    private static final int READ_BYTES = 4 * 1024;

    /** Bytes of a connection that the kernel holds at most while the connection is not read. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    /** Linux doubles the size that is set, and fills all of it over the loopback interface. */
    private static final int RECEIVE_BUFFER_OPTION_BYTES = RECEIVE_BUFFER_BYTES / 2;

    /**
     * Bytes behind an invalid request that are read all the same: closing a connection with unread
     * bytes can cost its peer the response to an earlier request.
     */
    private static final int MAX_IGNORED_BYTES = 1024 * 1024;

    private final Limits mLimits;
    private final FoldedLines mFoldedLines;
    private final UnreadResponses mUnread;
    private final HeadTimer mHeadTimer;
    private boolean mTracksResponses;
    private boolean mAwaitsResponse;
    private boolean mHadTurn;
    private boolean mTurnIsScheduled;
    private boolean mPaused;
    private boolean mStoppedReading;
    private boolean mReadingHead;
    private boolean mHasRequestLine;
    private boolean mReadingLines;
    private boolean mReadingBody;
    private boolean mInvalid;
    private boolean mOutOfMemory;
    private boolean mClosesAfterResponse;
    private long mIgnoredBytes;
    private long mUndecodedBytes;

    /**
     * Limits on a connection.
     *
     * @param headMilliseconds returns the time from the first byte of a head to its last one
     * @param unreadMilliseconds returns the time in which the peer must read some bytes of the
     *     responses that wait for it
     * @param isServing returns whether a response is still to be sent; as the rest of the next head
     *     may not be read meanwhile, its time begins anew
     * @param memory memory for what the peer sends
     */
    public record Limits(
            LongSupplier headMilliseconds,
            LongSupplier unreadMilliseconds,
            BooleanSupplier isServing,
            ReceiveMemory memory) {
        /** Creates limits without one on the memory. */
        public Limits(
                LongSupplier headMilliseconds,
                LongSupplier unreadMilliseconds,
                BooleanSupplier isServing) {
            this(headMilliseconds, unreadMilliseconds, isServing, ReceiveMemory.unlimited());
        }

        /** Returns limits that end a connection on which no response was sent for some time. */
        public static Limits ofIdleMilliseconds(long idleMilliseconds) {
            return new Limits(() -> idleMilliseconds, () -> idleMilliseconds, () -> false);
        }
    }

    /** Creates a decoder for one connection of a server with these options. */
    RequestDecoder(HttpServerOptions options, Limits limits) {
        super(options);
        mLimits = limits;
        mFoldedLines = new FoldedLines(options.getMaxHeaderSize());
        mUnread = new UnreadResponses(limits.unreadMilliseconds());
        mHeadTimer =
                new HeadTimer(
                        limits.headMilliseconds(),
                        () -> limits.isServing().getAsBoolean() || mAwaitsResponse);
        setCumulator(new CompactCumulator());
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
                                        .install(RefusedBody.channel(connection)));
    }

    /** Installs the decoder, unless the connection was refused and is closed already. */
    private void install(Channel channel) {
        if (!channel.isOpen()) {
            return;
        }
        channel.config().setOption(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_OPTION_BYTES);
        channel.config()
                .setRecvByteBufAllocator(
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1));
        channel.pipeline().replace(HANDLER_NAME, HANDLER_NAME, this);
        channel.pipeline()
                .addAfter(
                        ENCODER_NAME,
                        null,
                        new ResponseTracker(() -> responseEnded(channel), () -> mInvalid));
        mTracksResponses = true;
    }

    /**
     * Stops decoding and reading a connection in the middle of a body. Returns false, and leaves
     * the connection as it is, if there is no memory for the bytes that may arrive until it is
     * resumed.
     */
    public static boolean pause(HttpConnection connection) {
        RequestDecoder decoder =
                RefusedBody.channel(connection).pipeline().get(RequestDecoder.class);
        return decoder == null || decoder.pause(RefusedBody.channel(connection));
    }

    /** Decodes and reads a connection again after {@link #pause(HttpConnection)}. */
    public static void resume(HttpConnection connection) {
        RequestDecoder decoder =
                RefusedBody.channel(connection).pipeline().get(RequestDecoder.class);
        if (decoder != null && decoder.mPaused) {
            decoder.mPaused = false;
            decoder.decodeLater(RefusedBody.channel(connection));
        }
    }

    private boolean pause(Channel channel) {
        if (!mLimits.memory().holdUndecoded(READ_BYTES + RECEIVE_BUFFER_BYTES)) {
            mUndecodedBytes = 0;
            return false;
        }
        mUndecodedBytes = READ_BYTES + RECEIVE_BUFFER_BYTES;
        mPaused = true;
        stopReading(channel);
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        mHadTurn = false;
        super.channelRead(context, message);
        holdUndecoded(context);
    }

    /** Takes memory for the bytes that wait to be decoded or, on a stopped connection, read. */
    private void holdUndecoded(ChannelHandlerContext context) throws Exception {
        ByteBuf undecoded = internalBuffer();
        long bytes =
                (undecoded.isReadable() ? undecoded.capacity() : 0)
                        + (mStoppedReading ? RECEIVE_BUFFER_BYTES : 0);
        if (bytes != mUndecodedBytes && context.channel().isActive()) {
            mUndecodedBytes = bytes;
            if (!mLimits.memory().holdUndecoded(bytes)) {
                mUndecodedBytes = 0;
                discardUndecoded(context);
            }
        }
    }

    /** Ends a connection, after the response in progress if the bytes are behind its request. */
    private void discardUndecoded(ChannelHandlerContext context) throws Exception {
        if (mInvalid || mReadingBody || !mAwaitsResponse) {
            closeWithoutMemory(context);
        } else {
            LOG.info("request.pipeline.no_memory", "peer", context.channel().remoteAddress());
            mInvalid = true;
            mClosesAfterResponse = true;
            ignore(context, internalBuffer());
            // The inherited method releases an empty buffer.
            super.channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    private void closeWithoutMemory(ChannelHandlerContext context) {
        LOG.info("request.no_memory", "peer", context.channel().remoteAddress());
        mInvalid = true;
        mLimits.memory().releaseAll();
        context.close();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
            throws Exception {
        if (mInvalid) {
            ignore(context, received);
            return;
        }
        if (received.isReadable() && !mReadingBody) {
            mHeadTimer.startUnlessRunning(context);
        }
        if (mHadTurn && isBetweenRequests() && received.isReadable()) {
            decodeLater(context.channel());
            return;
        }
        if (isWaiting(context)) {
            if (received.readableBytes() >= MAX_WAITING_BYTES) {
                stopReading(context.channel());
            }
            return;
        }
        if (received.isReadable() && !mReadingBody && !mReadingHead) {
            mReadingHead = true;
            mLimits.memory().headBegun();
        }
        int earlier = decoded.size();
        boolean isBody = mReadingBody;
        mReadingLines |= mReadingHead;
        if (mReadingLines) {
            decodeLines(context, received, decoded);
        } else {
            decodeOnce(context, received, decoded);
        }
        if (isBody) {
            decodeMoreOfBody(context, received, decoded);
            SmallChunks.join(context.alloc(), decoded, earlier);
        }
        List<Object> parts = decoded.subList(earlier, decoded.size());
        if (mOutOfMemory) {
            parts.forEach(ReferenceCountUtil::release);
            parts.clear();
            received.skipBytes(received.readableBytes());
            closeWithoutMemory(context);
        } else {
            parts.forEach(this::decoded);
        }
    }

    /** Decodes lines of a head or of a trailer section once it is known that they are complete. */
    private void decodeLines(ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
            throws Exception {
        int end = received.writerIndex();
        received.writerIndex(mFoldedLines.join(received, mReadingHead && !mHasRequestLine));
        try {
            decodeOnce(context, received, decoded);
        } finally {
            received.writerIndex(end);
        }
    }

    private void decodeOnce(ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
            throws Exception {
        int parts = decoded.size();
        int start = received.readerIndex();
        super.decode(context, received, decoded);
        int decodedBytes = received.readerIndex() - start;
        // The last chunk has no content; the trailer section begins behind its size.
        mReadingLines |=
                mReadingBody && decoded.size() == parts && ChunkSizes.isLast(received, start);
        if (mReadingLines && !mLimits.memory().take(DecodedHeap.ofCharacters(decodedBytes))) {
            mOutOfMemory = true;
        }
    }

    /** Decodes the other bytes of a body that have arrived, so that small chunks can be joined. */
    private void decodeMoreOfBody(
            ChannelHandlerContext context, ByteBuf received, List<Object> decoded)
            throws Exception {
        int before = Integer.MAX_VALUE;
        while (received.isReadable()
                && received.readableBytes() < before
                && !mReadingLines
                && !endsBody(decoded)) {
            before = received.readableBytes();
            decodeOnce(context, received, decoded);
        }
    }

    private static boolean endsBody(List<Object> decoded) {
        return !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
    }

    /** Returns whether the bytes that have arrived may not be decoded yet. */
    private boolean isWaiting(ChannelHandlerContext context) {
        return mPaused
                || isBetweenRequests() && (mAwaitsResponse || !context.channel().isWritable());
    }

    private boolean isBetweenRequests() {
        return !mReadingBody && !mReadingHead;
    }

    private void decoded(Object part) {
        if (((HttpObject) part).decoderResult().isFailure()) {
            mInvalid = true;
        }
        if (part instanceof HttpRequest) {
            mReadingHead = false;
            mHasRequestLine = false;
            mReadingLines = false;
            mFoldedLines.sectionEnded();
            mReadingBody = true;
            mAwaitsResponse = mTracksResponses;
            mHadTurn = mTracksResponses;
            mLimits.memory().headComplete();
            mHeadTimer.cancel();
        }
        if (part instanceof LastHttpContent) {
            mReadingBody = false;
            mReadingLines = false;
            mFoldedLines.sectionEnded();
        }
    }

    /** Called with the words of the request line. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        mHasRequestLine = true;
        takeMemory(DecodedHeap.REQUEST_BYTES);
        return super.createMessage(initialLine);
    }

    /** Called with each line of a head or of a trailer section. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        mReadingLines = true;
        mFoldedLines.requireWithinLimit();
        takeMemory(DecodedHeap.HEADER_BYTES);
        return super.splitHeaderName(line, start, length);
    }

    private void takeMemory(long bytes) {
        if (!mLimits.memory().take(bytes)) {
            mOutOfMemory = true;
            throw new IllegalStateException("there is no memory for the request");
        }
    }

    private void responseEnded(Channel channel) {
        mAwaitsResponse = false;
        mLimits.memory().releaseRequest();
        if (mClosesAfterResponse) {
            channel.eventLoop().execute(channel::close);
        } else if (!mReadingBody && internalBuffer().isReadable()) {
            mHeadTimer.restartIfRunning(channel.pipeline().context(this));
            decodeLater(channel);
        }
    }

    private void stopReading(Channel channel) {
        mStoppedReading = true;
        channel.config().setAutoRead(false);
    }

    /**
     * Decodes the bytes that were waiting, and reads on, once the loop has read the other
     * connections. A connection decodes one request in a turn; tasks that are not scheduled would
     * run for up to a second before the loop reads again.
     */
    private void decodeLater(Channel channel) {
        if (!mTurnIsScheduled) {
            mTurnIsScheduled = true;
            channel.eventLoop().schedule(() -> takeTurn(channel), 0, TimeUnit.MILLISECONDS);
        }
    }

    private void takeTurn(Channel channel) {
        mTurnIsScheduled = false;
        ChannelHandlerContext context = channel.pipeline().context(this);
        if (context != null) {
            decodeWaiting(context);
        }
    }

    private void decodeWaiting(ChannelHandlerContext context) {
        if (mStoppedReading && !mPaused) {
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
            discardSomeReadBytes();
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        super.channelWritabilityChanged(context);
        if (context.channel().isWritable()) {
            mUnread.cancel();
            decodeLater(context.channel());
        } else {
            mUnread.startUnlessRunning(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        mHeadTimer.cancel();
        mUnread.cancel();
        mInvalid = true;
        super.channelInactive(context);
        mLimits.memory().releaseAll();
    }

    /** Called once the head is complete; an exception makes the request invalid. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (message != null) {
            MessageLength.requireClear(message);
        }
        return super.isContentAlwaysEmpty(message);
    }
}
