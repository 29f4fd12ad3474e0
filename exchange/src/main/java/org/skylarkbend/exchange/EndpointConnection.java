package org.skylarkbend.exchange;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;

/** Open connection to an endpoint, which serves one exchange at a time. */
final class EndpointConnection {
    private static final StructuredLog LOG = StructuredLog.of(EndpointConnection.class);
    private static final String VERTX_HANDLER = "handler";

    /** Methods whose requests name the length of their body also if it is empty (RFC 9110, 8.6). */
    private static final Set<HttpMethod> METHODS_WITH_BODY =
            Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

    private final NetSocketInternal mSocket;
    private final ResponseDecoder mDecoder;
    private final ExchangeOptions mOptions;
    private final MillisecondClock mClock;
    private final Counter mStrayReceptions;
    private final Consumer<EndpointConnection> mOnFree;
    private final Consumer<EndpointConnection> mOnClosed;
    private Optional<Exchange> mExchange = Optional.empty();
    private Optional<String> mFailure = Optional.empty();
    private KeepAlive mKeepAlive;
    private long mExpiryMilliseconds;
    private int mServed;
    private boolean mRequestWritten;
    private boolean mIsEndedByConnection;
    private boolean mReusable = true;

    /**
     * Takes over a new connection.
     *
     * @param socket the connection
     * @param options bounds of the connection
     * @param clock monotonic clock
     * @param strayReceptions counts receptions of bytes that belong to no response
     * @param onFree called when the connection can serve another exchange
     * @param onClosed called once when the connection is closed
     */
    EndpointConnection(
            NetSocketInternal socket,
            ExchangeOptions options,
            MillisecondClock clock,
            Counter strayReceptions,
            Consumer<EndpointConnection> onFree,
            Consumer<EndpointConnection> onClosed) {
        mSocket = socket;
        mDecoder = new ResponseDecoder(options);
        mOptions = options;
        mClock = clock;
        mStrayReceptions = strayReceptions;
        mOnFree = onFree;
        mOnClosed = onClosed;
        mKeepAlive = new KeepAlive(options.keepAliveMilliseconds());
        keepFrom(clock.nowMilliseconds());
        socket.channelHandlerContext()
                .pipeline()
                .addBefore(VERTX_HANDLER, "request", new HttpRequestEncoder())
                .addBefore(VERTX_HANDLER, "response", mDecoder);
        socket.messageHandler(this::received);
        socket.exceptionHandler(e -> mFailure = Optional.of(String.valueOf(e.getMessage())));
        socket.closeHandler(ignored -> closed());
    }

    /** Returns whether the unused connection is open, and expected to stay open until then. */
    boolean isUsableAt(long nowMilliseconds) {
        return mReusable && channel().isActive() && nowMilliseconds < mExpiryMilliseconds;
    }

    /**
     * Sends the request of an exchange, unless it is invalid or its listener cancels it. Returns
     * whether the connection is in use now.
     */
    boolean serve(Exchange exchange) {
        FullHttpRequest request;
        try {
            request = encode(exchange.request());
        } catch (IllegalArgumentException e) {
            exchange.deliver(
                    new ExchangeEvent.Rejected("the request is invalid: " + e.getMessage()));
            return false;
        }
        exchange.deliver(new ExchangeEvent.Sending());
        if (exchange.isCancelled()) {
            request.release();
            return false;
        }
        mExchange = Optional.of(exchange);
        mRequestWritten = false;
        exchange.attach(this);
        mDecoder.expectResponse(exchange.request());
        mSocket.writeMessage(request)
                .onSuccess(ignored -> requestWritten(exchange))
                .onFailure(e -> fail("the request was not written: " + e));
        return true;
    }

    /**
     * Closes the connection at once, without waiting until the endpoint has read the rest of a
     * request. Its exchange is not notified if it was cancelled.
     */
    void close() {
        mReusable = false;
        // Past Vert.x's handler, which writes what is queued before it closes.
        mSocket.channelHandlerContext().close();
    }

    /** Lets the connection serve no further exchange. */
    void retire() {
        mReusable = false;
    }

    /** Starts or stops reading from the connection. */
    void setReading(boolean reading) {
        channel().config().setAutoRead(reading);
    }

    private Channel channel() {
        return mSocket.channelHandlerContext().channel();
    }

    /** Encodes a request. Its body is not copied; releasing what is returned leaves it as it is. */
    private FullHttpRequest encode(ExchangeRequest request) {
        FullHttpRequest encoded =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method().toNetty(),
                        request.uri(),
                        ((BufferInternal) request.body()).getByteBuf());
        request.headers()
                .forEach(header -> encoded.headers().add(header.getKey(), header.getValue()));
        if (request.body().length() > 0 || METHODS_WITH_BODY.contains(request.method())) {
            encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        if (mOptions.keepAliveMilliseconds() == 0) {
            encoded.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return encoded;
    }

    private void requestWritten(Exchange exchange) {
        if (mExchange.filter(own -> own == exchange).isPresent()) {
            mRequestWritten = true;
            exchange.deliver(new ExchangeEvent.Sent());
        }
    }

    private void received(Object message) {
        try {
            if (message instanceof ResponseDecoder.StrayBytes stray) {
                strayBytesReceived(stray.bytes());
            } else if (message instanceof ResponseDecoder.SkippedResponse skipped) {
                responseSkipped(skipped.status());
            } else if (mExchange.isPresent()) {
                partReceived(mExchange.get(), message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void partReceived(Exchange exchange, Object part) {
        if (mFailure.isPresent()) {
            fail(mFailure.get());
        } else if (part instanceof ResponseDecoder.Fault fault) {
            fail(fault.cause());
        } else if (part instanceof ResponseDecoder.Head head) {
            mKeepAlive = head.keepAlive();
            mIsEndedByConnection = head.isEndedByConnection();
            exchange.deliver(new ExchangeEvent.HeadReceived(head.start()));
        } else if (part instanceof HttpContent content && !exchange.isCancelled()) {
            contentReceived(exchange, content);
        }
    }

    private void contentReceived(Exchange exchange, HttpContent content) {
        if (content.content().isReadable()) {
            byte[] bytes = ByteBufUtil.getBytes(content.content());
            exchange.deliver(new ExchangeEvent.ChunkReceived(Buffer.buffer(bytes)));
        }
        if (!(content instanceof LastHttpContent) || exchange.isCancelled()) {
            return;
        }
        if (mIsEndedByConnection && !mRequestWritten) {
            // A reset may end the connection here before the failed write is known.
            fail("the connection ended before the request was written");
        } else {
            responseComplete(exchange);
        }
    }

    /** Frees the connection before the listener is notified, which may start the next exchange. */
    private void responseComplete(Exchange exchange) {
        mExchange = Optional.empty();
        exchange.detach();
        setReading(true);
        mServed++;
        if (mReusable && mRequestWritten && mKeepAlive.isKept()) {
            keepFrom(mClock.nowMilliseconds());
            mOnFree.accept(this);
        } else {
            close();
        }
        exchange.deliver(new ExchangeEvent.Ended());
    }

    private void keepFrom(long nowMilliseconds) {
        mExpiryMilliseconds = nowMilliseconds + mKeepAlive.milliseconds();
    }

    private void responseSkipped(int status) {
        mStrayReceptions.inc();
        LOG.warn(
                "endpoint.response_skipped",
                "endpoint",
                mSocket.remoteAddress(),
                "status",
                status,
                "exchanges",
                mServed);
    }

    private void strayBytesReceived(int bytes) {
        mStrayReceptions.inc();
        LOG.warn(
                "endpoint.stray_bytes",
                "endpoint",
                mSocket.remoteAddress(),
                "bytes",
                bytes,
                "in_use",
                mExchange.isPresent(),
                "exchanges",
                mServed);
        if (mExchange.isPresent()) {
            mReusable = false;
        } else {
            close();
        }
    }

    private void fail(String cause) {
        Optional<Exchange> failed = mExchange;
        mExchange = Optional.empty();
        close();
        failed.ifPresent(
                exchange -> {
                    exchange.detach();
                    exchange.deliver(new ExchangeEvent.Lost(cause));
                });
    }

    private void closed() {
        mReusable = false;
        fail(mFailure.orElse("the connection was closed"));
        mOnClosed.accept(this);
    }
}
